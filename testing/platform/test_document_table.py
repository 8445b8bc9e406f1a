"""The table of fields and values in the platform's note agrees with the decoders."""

from __future__ import annotations

import copy
import json
import re
from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple

import pytest

from chervilstage.coordination.routing import routing_problems
from chervilstage.errors import ChervilstageError
from chervilstage.platform.documents import decode_heartbeat, decode_routing
from chervilstage.platform.settings import read_settings

from .test_documents import CONFIGURATION, HEARTBEAT, NOW_MS, ROUTE, SERVICE, encode
from .test_settings import DOCUMENT, write_settings

NOTE = Path(__file__).parents[2] / "docs" / "notes" / "platform.md"
ROW = re.compile(
    r"\| (configuration|heartbeat|settings) \| `([^`]+)` \| (.*?) \|"
    r" (required|optional|ignored) \|"
)
VALUE = re.compile(r"`([^`]+)`")
ABSENT = object()


class Row(NamedTuple):
    """A row of the table; ``path`` holds the keys that lead to a field."""

    document: str
    path: tuple[str, ...]
    values: list[Any]
    use: str


def read_table() -> list[Row]:
    """Return the rows of the table."""
    return [
        Row(
            document=document,
            path=tuple(path.split(".")),
            values=[json.loads(value) for value in VALUE.findall(values)],
            use=use,
        )
        for document, path, values, use in ROW.findall(NOTE.read_text())
    ]


TABLE = read_table()
SPLIT = {
    **{key: value for key, value in ROUTE.items() if key != "Service"},
    "Name": "r-2",
    "Host": "198.18.0.2",
    "Split": [
        {"Service": "desk", "Weight": 90},
        {"Service": "ledger", "Weight": 10},
    ],
}
EXAMPLES: dict[str, dict[str, Any]] = {
    "configuration": {
        **CONFIGURATION,
        "Routes": [ROUTE, SPLIT],
        "Services": [SERVICE, {"Name": "ledger"}],
    },
    "heartbeat": HEARTBEAT,
    "settings": DOCUMENT,
}


def example_with(row: Row, value: Any) -> dict[str, Any]:
    """Return the example document of a row with a value set, or the field removed."""
    document: Any = copy.deepcopy(EXAMPLES[row.document])
    parent = document
    for key in row.path[:-1]:
        parent = parent[int(key)] if key.isdigit() else parent.setdefault(key, {})
    if value is ABSENT:
        parent.pop(row.path[-1], None)
    else:
        parent[row.path[-1]] = value
    return document


@pytest.fixture
def read_document(tmp_path: Path) -> Callable[[str, Any], object]:
    """Return a function that decodes a document as the daemons do."""

    def decode(kind: str, document: Any) -> object:
        """Decode a document.

        :raises ChervilstageError: the document is refused.
        """
        if kind == "configuration":
            routing = decode_routing(encode(document))
            assert routing_problems(routing) == []
            return routing
        if kind == "heartbeat":
            return decode_heartbeat("i-1", encode(document), NOW_MS)
        return read_settings(write_settings(tmp_path, document))

    return decode


def test_the_table_has_a_row_for_each_field_of_the_examples() -> None:
    """Guards against a field that the note does not document."""
    documented = {(row.document, row.path[-1]) for row in TABLE}
    for kind, document in EXAMPLES.items():
        pending: list[Any] = [document]
        while pending:
            value = pending.pop()
            if isinstance(value, list):
                pending += value
            elif isinstance(value, dict):
                used_keys = {key for key in value if key[0].isupper() or key == "born"}
                used_keys -= {"SomethingNew", "Tolerance", "Bounds"}
                assert {(kind, key) for key in used_keys} <= documented
                pending += value.values()


@pytest.mark.parametrize(
    "row", TABLE, ids=lambda row: f"{row.document}-{'.'.join(row.path)}"
)
def test_each_field_is_used_as_the_table_says(
    row: Row, read_document: Callable[[str, Any], object]
) -> None:
    """Guards against refusing a documented value or requiring an optional field."""
    for value in row.values:
        read_document(row.document, example_with(row, value))
    document_without = example_with(row, ABSENT)
    if row.use == "required":
        with pytest.raises(ChervilstageError):
            read_document(row.document, document_without)
        return
    decoded = read_document(row.document, document_without)
    if row.use == "ignored":
        for value in [*row.values, {"later": 1}]:
            assert read_document(row.document, example_with(row, value)) == decoded
