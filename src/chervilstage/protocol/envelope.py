"""The authenticated envelope around each message between processes."""

from __future__ import annotations

from hashlib import blake2b
from hmac import compare_digest
from typing import NamedTuple

from ..errors.access import EnvelopeTagError
from .schemas import pack, schema, unpack, wrap_decode_errors

TAG_BYTES = 16


class Envelope(NamedTuple):
    """A message, its kind, and the name of the process that sent it."""

    kind: int
    sender: str
    body: bytes


def encode_envelope(envelope: Envelope, key: bytes) -> bytes:
    """Return the tagged encoding of an envelope."""
    message = schema("envelope").Envelope.new_message(
        kind=int(envelope.kind), sender=envelope.sender, body=envelope.body
    )
    packed = pack(message)
    return _tag(packed, key) + packed


@wrap_decode_errors()
def decode_envelope(data: bytes, key: bytes) -> Envelope:
    """Check the tag of an envelope and decode it.

    :raises EnvelopeTagError: the tag is not that of the key.
    :raises EnvelopeFormatError: the content is not an envelope.
    """
    tag, packed = data[:TAG_BYTES], data[TAG_BYTES:]
    if not compare_digest(tag, _tag(packed, key)):
        raise EnvelopeTagError(size=len(data))
    message = unpack(schema("envelope").Envelope, packed)
    return Envelope(kind=message.kind, sender=message.sender, body=message.body)


def _tag(packed: bytes, key: bytes) -> bytes:
    return blake2b(packed, key=key, digest_size=TAG_BYTES).digest()
