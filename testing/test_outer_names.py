"""Names that other processes, tools and stored data use must not change."""

from __future__ import annotations

from pathlib import Path

from testing.support.outer_names import collect_outer_names

NAMES = Path(__file__).parent / "outer_names.txt"


def test_names_that_leave_the_processes_are_those_of_the_list() -> None:
    """Guards against a rename in the code that changes what a process gives out.

    Operators' tools, stored data and processes of another version read these names.
    A name that is added or changed on purpose is entered in ``outer_names.txt``.
    """
    listed = NAMES.read_text().splitlines()
    found = collect_outer_names()
    missing = sorted(set(listed) - set(found))
    unlisted = sorted(set(found) - set(listed))
    assert (missing, unlisted) == ([], [])
