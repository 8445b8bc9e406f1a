"""The dissemination of upstream announcements from an entry to its peers."""

from __future__ import annotations

from typing import NamedTuple

from .types import Address, UpstreamPhase, UpstreamRecord


class DigestItem(NamedTuple):
    """The part of a record that changes with each announcement.

    ``is_silent`` says that the sender knows the upstream but receives no announcements
    from it.
    """

    key: int
    sequence: int
    load: int
    leaving: bool
    left: bool = False
    is_silent: bool = False

    @property
    def phase(self) -> UpstreamPhase:
        """Return the phase that the item reports."""
        if self.left:
            return UpstreamPhase.LEFT
        return UpstreamPhase.LEAVING if self.leaving else UpstreamPhase.READY


class SilentRecord(NamedTuple):
    """The last record of an upstream and how many seconds it has been silent."""

    record: UpstreamRecord
    seconds: float


class DisseminationState:
    """The announcements to send to the peers with the next refresh.

    ``newly_announced`` holds the upstreams that announced themselves here since the
    last refresh. ``repeat_leaving_until`` holds, by address of a leaving upstream, the
    time until which each refresh repeats that it is leaving. ``full_digest_at`` is when
    the next refresh has to include all upstreams.
    """

    def __init__(self) -> None:
        self.newly_announced: set[Address] = set()
        self.repeat_leaving_until: dict[Address, float] = {}
        self.full_digest_at = 0.0
