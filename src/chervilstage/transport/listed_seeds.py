"""Seed addresses of replicas in a settings file, which may change at any time."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import NamedTuple

from ..errors import ChervilstageError
from ..state.types import Address
from .event_log import log_event


class ListedSeeds(NamedTuple):
    """The valid seed addresses of a settings file and the number of unreadable ones."""

    addresses: list[Address]
    unreadable_count: int


def make_seed_reader(
    known: list[Address], read: Callable[[], ListedSeeds]
) -> Callable[[], list[Address]]:
    """Return a function that returns the current seed addresses of the settings.

    The file may be read while it is being written; the addresses of the last complete
    file then stay in use.

    :param known: the addresses in the file at the start of the process.
    :param read: reads the current file.
    """

    def read_addresses() -> list[Address]:
        """Return the addresses of the last complete settings file."""
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
        if seeds.unreadable_count:
            log_event(
                "seeds_unread", level=logging.WARNING, count=seeds.unreadable_count
            )
        return known

    return read_addresses
