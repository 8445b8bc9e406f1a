"""A bounded buffer of packets whose flow waits for answers of peers."""

from __future__ import annotations

# At most 16 MB in total with packets of 1,400 bytes. The limit for each flow keeps a
# single caller from filling the buffer.
MAXIMUM_PACKETS = 12_000
MAXIMUM_PACKETS_PER_FLOW = 8


class PendingPackets:
    """Pending packets by flow key, in order of arrival."""

    def __init__(self) -> None:
        self.packets: dict[int, list[bytes]] = {}
        self.count = 0

    def add_packet(self, key: int, packet: bytes) -> bool:
        """Add a packet and return whether there was room for it."""
        pending = self.packets.get(key)
        if self.count >= MAXIMUM_PACKETS or (
            pending and len(pending) >= MAXIMUM_PACKETS_PER_FLOW
        ):
            return False
        self.packets.setdefault(key, []).append(packet)
        self.count += 1
        return True

    def remove_packets(self, key: int) -> list[bytes]:
        """Remove and return the packets of a flow."""
        packets = self.packets.pop(key, [])
        self.count -= len(packets)
        return packets
