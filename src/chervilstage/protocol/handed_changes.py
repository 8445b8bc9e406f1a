"""Encoding of changes that a replica hands to the leader."""

from __future__ import annotations

import json
from typing import NamedTuple

from ..state.configuration import Change
from .configuration_records import change_document, change_of
from .schemas import reading


class HandedChange(NamedTuple):
    """A change that is handed to the leader.

    ``leader_at`` is the newest time of the leader's clock that the sender has heard of,
    None if the sender is of an earlier version, and ``waited_seconds`` how long the
    call may have waited when it was handed over.
    """

    change: Change
    leader_at: float | None
    waited_seconds: float

    def waited(self, now: float) -> float:
        """Return the seconds that the call may have waited, by the leader's clock."""
        if self.leader_at is None:
            return self.waited_seconds
        return self.waited_seconds + now - self.leader_at


def encode_handed_change(handed: HandedChange) -> bytes:
    """Return the JSON encoding of a change that is handed over."""
    document = change_document(handed.change)
    document["leader_at"] = handed.leader_at
    document["waited_seconds"] = handed.waited_seconds
    return json.dumps(document).encode()


def decode_handed_change(data: bytes) -> HandedChange:
    """Decode a change that was handed over.

    :raises EnvelopeFormatError: the bytes are no such change.
    """
    with reading():
        document = json.loads(data)
        return HandedChange(
            change=change_of(document),
            leader_at=document.get("leader_at"),
            waited_seconds=document.get("waited_seconds", 0.0),
        )
