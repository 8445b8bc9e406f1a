"""Encoding of the packets between the load tool and the stand-in upstreams.

Each packet is a header line of words and a body. The last word of the line is a hash of
everything else, which detects truncated and mixed packets.
"""

from __future__ import annotations

from xxhash import xxh64_hexdigest

from ..errors.load import LoadPacketError
from ..state.load_packets import CallerPacket, FeedUpdate, PacketAnswer, UpstreamName

PACKET = "CSL1"
SUBSCRIBE = "CSS1"
ANSWER = "CSA1"
UPDATE = "CSU1"
MAXIMUM_LINE_BYTES = 512
# Words in the header line of each kind, without the kind and the hash.
WORD_COUNTS = {PACKET: 3, SUBSCRIBE: 3, ANSWER: 4, UPDATE: 6}


def encode_packet(packet: CallerPacket) -> bytes:
    """Return the encoding of a caller's packet."""
    kind = SUBSCRIBE if packet.subscribe else PACKET
    words = (packet.service, packet.flow, str(packet.sequence))
    return _frame(kind, words, packet.body)


def decode_packet(data: bytes) -> CallerPacket:
    """Decode a caller's packet.

    :raises LoadPacketError: the data is not a valid packet or is damaged.
    """
    kind, words, body = _parse(data, (PACKET, SUBSCRIBE))
    return CallerPacket(
        service=words[0],
        flow=words[1],
        sequence=_parse_number(words[2]),
        subscribe=kind == SUBSCRIBE,
        body=body,
    )


def encode_answer(upstream: UpstreamName, packet: bytes) -> bytes:
    """Return the encoding of an answer that echoes an encoded packet."""
    return _frame(ANSWER, _upstream_words(upstream), packet)


def encode_update(update: FeedUpdate) -> bytes:
    """Return the encoding of an update that an upstream pushes to a caller."""
    words = (*_upstream_words(update.upstream), update.feed, str(update.number))
    return _frame(UPDATE, words, b"")


def decode_answer(data: bytes) -> PacketAnswer | FeedUpdate:
    """Decode an answer or an update of an upstream.

    :raises LoadPacketError: the data is not a valid answer or update, or is damaged.
    """
    kind, words, body = _parse(data, (ANSWER, UPDATE))
    upstream = UpstreamName(
        service=words[0],
        address=words[1],
        incarnation=_parse_number(words[2]),
        data_centre=words[3],
    )
    if kind == ANSWER:
        return PacketAnswer(upstream=upstream, packet=decode_packet(body))
    return FeedUpdate(upstream=upstream, feed=words[4], number=_parse_number(words[5]))


def _upstream_words(upstream: UpstreamName) -> tuple[str, ...]:
    incarnation = str(upstream.incarnation)
    return (upstream.service, upstream.address, incarnation, upstream.data_centre)


def _frame(kind: str, words: tuple[str, ...], body: bytes) -> bytes:
    line = " ".join((kind, *words)).encode()
    return b"%s %s\n%s" % (line, _hash(line, body), body)


def _parse(data: bytes, kinds: tuple[str, ...]) -> tuple[str, list[str], bytes]:
    line, newline, body = data.partition(b"\n")
    if not newline or len(line) > MAXIMUM_LINE_BYTES:
        raise LoadPacketError(reason="header line missing or too long")
    content, _, digest = line.rpartition(b" ")
    if digest != _hash(content, body):
        raise LoadPacketError(reason="hash does not match")
    kind, *words = content.decode("ascii", "replace").split(" ")
    if kind not in kinds or len(words) != WORD_COUNTS[kind]:
        raise LoadPacketError(reason=f"unexpected header line {kind}")
    return kind, words, body


def _parse_number(word: str) -> int:
    if not word.isdecimal():
        raise LoadPacketError(reason=f"{word!r} is not a number")
    return int(word)


def _hash(line: bytes, body: bytes) -> bytes:
    return xxh64_hexdigest(line + b"\n" + body).encode()
