"""Parses addresses on the command line."""

from __future__ import annotations

import typer

from ..state.types import Address

MAXIMUM_PORT = 65_535


def parse_address(text: str) -> Address:
    """Parse ``HOST:PORT``.

    :raises typer.BadParameter: the text is not an address.
    """
    host, _, port = text.strip().rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) <= MAXIMUM_PORT:
        raise typer.BadParameter(f"{text!r} is not HOST:PORT")
    return Address(host=host, port=int(port))
