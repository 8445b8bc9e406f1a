"""Encoding of changes that a replica forwards to the leader."""

from __future__ import annotations

import json
from typing import NamedTuple

from ..state.configuration import Change
from .configuration_records import change_document, change_from_document
from .schemas import wrap_decode_errors


class ForwardedChange(NamedTuple):
    """A change that is forwarded to the leader.

    ``leader_at`` is the newest time of the leader's clock that the sender has received,
    None if the sender runs an earlier version, which does not send it.
    ``waited_seconds`` is how long the call may have waited when it was forwarded.
    """

    change: Change
    leader_at: float | None
    waited_seconds: float

    def total_waited_seconds(self, now: float) -> float:
        """Return the seconds that the call may have waited, by the leader's clock."""
        if self.leader_at is None:
            return self.waited_seconds
        return self.waited_seconds + now - self.leader_at


def encode_forwarded_change(forwarded: ForwardedChange) -> bytes:
    """Return the JSON encoding of a forwarded change."""
    document = change_document(forwarded.change)
    document["leader_at"] = forwarded.leader_at
    document["waited_seconds"] = forwarded.waited_seconds
    return json.dumps(document).encode()


def decode_forwarded_change(data: bytes) -> ForwardedChange:
    """Decode a forwarded change.

    :raises EnvelopeFormatError: the bytes are not a valid change.
    """
    with wrap_decode_errors():
        document = json.loads(data)
        return ForwardedChange(
            change=change_from_document(document),
            leader_at=document.get("leader_at"),
            waited_seconds=document.get("waited_seconds", 0.0),
        )
