"""The replicas that a settings file names, which may change at any time."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import NamedTuple

from ..errors import ChervilstageError
from ..state.types import Address
from .event_log import log_event


class ListedSeeds(NamedTuple):
    """The readable seeds of a settings file; ``unread`` counts the others."""

    addresses: list[Address]
    unread: int


def follow_listed(
    known: list[Address], read: Callable[[], ListedSeeds]
) -> Callable[[], list[Address]]:
    """Return a function that says where the replicas of the settings are by now.

    A file may be read while it is written; the addresses of the last whole one then
    stay in use.

    :param known: the addresses of the file that the process started with.
    :param read: reads the file as it is now.
    """

    def listed() -> list[Address]:
        """Return the addresses of the last whole settings file."""
        nonlocal known
        try:
            seeds = read()
        except ChervilstageError as error:
            log_event(
                "settings_unread",
                level=logging.WARNING,
                code=error.code,
                reason=error,
            )
            return known
        known = seeds.addresses
        if seeds.unread:
            log_event("seeds_unread", level=logging.WARNING, count=seeds.unread)
        return known

    return listed
