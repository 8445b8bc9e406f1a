"""Codec for the platform's packets."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis.strategies import binary, integers

from chervilstage.errors.relay import MalformedPacketError
from chervilstage.platform.packets import (
    decode_packet,
    encode_forward,
    make_codec,
)
from chervilstage.state.routing import endpoint_of
from chervilstage.state.types import Address

OPENING = bytes.fromhex(
    "0000a1b2c3d5644000079c4101bbc61200011122334400000000 0400000000".replace(" ", "")
)
RESET = bytes.fromhex(
    "000000000000c612000101bb9c4164400007000000000000000010 00000000".replace(" ", "")
)


def test_opening_packet_of_the_example_is_decoded() -> None:
    """Guards against header fields that are decoded at the wrong offset."""
    packet = decode_packet(OPENING)
    assert packet.caller == endpoint_of(Address(host="100.64.0.7", port=40001))
    assert packet.front == endpoint_of(Address(host="198.18.0.1", port=443))
    assert (packet.is_opening, packet.is_ending, packet.is_reset) == (
        True,
        False,
        False,
    )
    assert (packet.sequence, packet.acknowledged) == (0x11223344, 0)
    assert (packet.size, packet.token) == (0, 0)


def test_reset_is_encoded_as_in_the_example() -> None:
    """Guards against a reset that the caller cannot match to its flow."""
    codec = make_codec(8172)
    packet = decode_packet(OPENING)
    data, destination = codec.reset(packet.caller, packet.front, 0)
    assert data == RESET
    assert destination == ("100.64.0.7", 8172)


@given(label=integers(1, 2**64 - 1), token=integers(1, 2**32 - 1))
def test_only_the_token_differs_from_what_the_caller_sent(
    label: int, token: int
) -> None:
    """Guards against forwarded packets that the upstream rejects as forged."""
    sent = encode_forward(OPENING, label, token)
    assert int.from_bytes(sent[:8], "big") == label
    assert sent[8:35] == OPENING[:27]
    assert int.from_bytes(sent[35:39], "big") == token
    assert encode_forward(OPENING, label, None)[8:] == OPENING


@given(data=binary(max_size=1400))
def test_random_bytes_are_refused_or_decoded(data: bytes) -> None:
    """Guards against a datagram that is no packet and crashes the process."""
    try:
        packet = decode_packet(data)
    except MalformedPacketError:
        return
    assert packet.size == len(data) - 31


@pytest.mark.parametrize(
    "data",
    [
        OPENING[:-1],
        OPENING + b"x",
        b"\x00\x05" + OPENING[2:],
        OPENING[:26] + b"\x44" + OPENING[27:],
        OPENING[:26] + b"\x80" + OPENING[27:],
        b"\x04\xb1" + OPENING[2:] + bytes(1201),
    ],
    ids=["short", "long", "length", "syn+ack", "unknown flag", "oversized"],
)
def test_malformed_packets_are_refused(data: bytes) -> None:
    """Guards against a forged or damaged packet that reaches an upstream."""
    with pytest.raises(MalformedPacketError):
        decode_packet(data)
