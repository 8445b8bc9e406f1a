"""Names that other processes give: of services, data centres and routes."""

from __future__ import annotations

LONGEST_NAME = 255


def is_name(text: str) -> bool:
    """Tell whether a text can be a name: short, and of characters that can be shown.

    Others may not be encoded, as half of a surrogate pair, or take the links of all
    that hear of them.
    """
    return 0 < len(text) <= LONGEST_NAME and text.isprintable()
