"""What an entry still has to tell its peers about upstreams."""

from __future__ import annotations

from typing import NamedTuple

from .types import Address, UpstreamPhase, UpstreamRecord


class DigestItem(NamedTuple):
    """The part of a record that changes with each announcement.

    ``is_silent`` tells that the sender knows the upstream and does not hear it.
    """

    key: int
    sequence: int
    load: int
    leaving: bool
    left: bool = False
    is_silent: bool = False

    @property
    def phase(self) -> UpstreamPhase:
        """Return the phase that the item tells."""
        if self.left:
            return UpstreamPhase.LEFT
        return UpstreamPhase.LEAVING if self.leaving else UpstreamPhase.READY


class SilentRecord(NamedTuple):
    """The last record of an upstream and for how many seconds it has been silent."""

    record: UpstreamRecord
    seconds: float


class SpreadState:
    """What is to be told with the next refresh.

    ``fresh`` holds the upstreams that announced themselves here since the last
    refresh; ``leaving_until`` until when to repeat that an upstream leaves.
    """

    def __init__(self) -> None:
        self.fresh: set[Address] = set()
        self.leaving_until: dict[Address, float] = {}
        self.full_digest_at = 0.0
