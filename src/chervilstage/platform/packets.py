"""Codec for the platform's packets."""

from __future__ import annotations

from socket import inet_ntoa
from struct import Struct

from ..errors.relay import MalformedPacketError
from ..state.flow_packets import FlowPacket
from ..state.routing import Endpoint
from ..transport.token_relay import PacketCodec

# Data length, checksum, source address and port, destination port and address,
# sequence number, acknowledgement number, flags, token.
HEADER = Struct(">HI6s2s4sIIBI")
LABEL = Struct(">Q")
TOKEN = Struct(">I")
TOKEN_OFFSET = 27
MAXIMUM_DATA_BYTES = 1_200

FLAG_SYN = 4
FLAG_BOUNCED = 8
FLAG_RST = 16
FLAG_FIN = 32
FLAG_ACK = 64
ALL_FLAGS = FLAG_SYN | FLAG_BOUNCED | FLAG_RST | FLAG_FIN | FLAG_ACK


def decode_packet(data: bytes) -> FlowPacket:
    """Decode a packet from a caller.

    :raises MalformedPacketError: the bytes are not a packet that a caller may send.
    """
    size = len(data) - HEADER.size
    if not 0 <= size <= MAXIMUM_DATA_BYTES:
        raise MalformedPacketError(size=len(data), reason="length out of bounds")
    length, _, caller, port, host, sequence, acknowledged, flags, token = (
        HEADER.unpack_from(data)
    )
    if length != size:
        raise MalformedPacketError(size=len(data), reason="length differs from header")
    if flags & ~ALL_FLAGS or (flags & FLAG_SYN and flags & FLAG_ACK):
        raise MalformedPacketError(size=len(data), reason=f"flags {flags:#x}")
    return FlowPacket(
        caller=caller,
        front=host + port,
        is_opening=bool(flags & FLAG_SYN),
        is_ending=bool(flags & FLAG_FIN),
        is_reset=bool(flags & FLAG_RST),
        sequence=sequence,
        acknowledged=acknowledged,
        size=size,
        token=token,
        # An opening packet counts its retransmissions in the acknowledgement field.
        copy=acknowledged if flags & FLAG_SYN else 0,
    )


def encode_forward(data: bytes, label: int, token: int | None) -> bytes:
    """Return the datagram to send to the upstream with a label.

    The checksum that both ends verify does not cover the token, so the token can be
    replaced; all other bytes are forwarded unchanged.
    """
    if token is None:
        return LABEL.pack(label) + data
    end = TOKEN_OFFSET + TOKEN.size
    return LABEL.pack(label) + data[:TOKEN_OFFSET] + TOKEN.pack(token) + data[end:]


def make_codec(caller_port: int) -> PacketCodec:
    """Return the packet codec.

    :param caller_port: the port on which callers receive packets.
    """

    def encode_reset(
        caller: Endpoint, front: Endpoint, sequence: int
    ) -> tuple[bytes, tuple[str, int]]:
        """Return a packet that resets a caller's flow, and its destination."""
        packet = HEADER.pack(
            0, 0, front, caller[4:], caller[:4], sequence, 0, FLAG_RST, 0
        )
        return packet, (inet_ntoa(caller[:4]), caller_port)

    return PacketCodec(decode=decode_packet, forward=encode_forward, reset=encode_reset)
