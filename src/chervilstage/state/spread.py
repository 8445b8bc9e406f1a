"""What an entry still has to tell its peers about upstreams."""

from __future__ import annotations

from typing import NamedTuple

from .types import Address


class DigestItem(NamedTuple):
    """The part of a record that changes with each announcement."""

    key: int
    sequence: int
    load: int
    leaving: bool


class SpreadState:
    """What is to be told with the next refresh.

    ``fresh`` holds the upstreams that announced themselves here since the last
    refresh; ``leaving_until`` until when to repeat that an upstream leaves.
    """

    def __init__(self) -> None:
        self.fresh: set[Address] = set()
        self.leaving_until: dict[Address, float] = {}
        self.full_digest_at = 0.0
