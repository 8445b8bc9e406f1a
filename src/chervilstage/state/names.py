"""Validation of names that other processes send: services, data centres, routes."""

from __future__ import annotations

MAX_NAME_LENGTH = 255


def is_valid_name(text: str) -> bool:
    """Return whether a text is a valid name: short, and of printable characters.

    Other texts may be impossible to encode, such as half of a surrogate pair, or so
    long that they use up the links of all processes that receive them.
    """
    return 0 < len(text) <= MAX_NAME_LENGTH and text.isprintable()
