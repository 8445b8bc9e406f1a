"""The bounded buffer of packets whose flow waits for answers of peers."""

from __future__ import annotations

# Together at most 16 MB of packets of 1,400 bytes. One flow takes few places, so that
# a single caller cannot fill the buffer.
MAXIMUM_PACKETS = 12_000
PACKETS_PER_FLOW = 8


class HeldPackets:
    """Packets by flow key, in the order of their arrival."""

    def __init__(self) -> None:
        self.packets: dict[int, list[bytes]] = {}
        self.count = 0

    def hold(self, key: int, packet: bytes) -> bool:
        """Keep a packet and tell whether there was room for it."""
        held = self.packets.get(key)
        if self.count >= MAXIMUM_PACKETS or (held and len(held) >= PACKETS_PER_FLOW):
            return False
        self.packets.setdefault(key, []).append(packet)
        self.count += 1
        return True

    def take(self, key: int) -> list[bytes]:
        """Remove and return the packets of a flow."""
        packets = self.packets.pop(key, [])
        self.count -= len(packets)
        return packets
