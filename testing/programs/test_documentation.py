"""The reference pages list exactly what the code has."""

from __future__ import annotations

import pkgutil
import re
from importlib import import_module
from pathlib import Path

import pytest

from chervilstage import errors, protocol
from chervilstage.errors import ChervilstageError, error_types
from chervilstage.protocol import documents, settings

DOCS = Path(__file__).parent.parent.parent / "docs"
CODE_ROW = re.compile(r"^\| `(CS-[A-Z]+-\d{3})` \| (.+?) \| (yes|no) \|", re.MULTILINE)

for module in pkgutil.iter_modules(errors.__path__):
    import_module(f"{errors.__name__}.{module.name}")


def product_error_types() -> list[type[ChervilstageError]]:
    """Return the error types of the package."""
    return [e for e in error_types() if e.__module__.startswith("chervilstage.")]


def test_each_code_has_one_error_type() -> None:
    """Guards against two failures that an operator cannot distinguish."""
    codes = [error.code for error in product_error_types()]
    assert len(codes) == len(set(codes)), sorted(codes)


def test_codes_page_lists_each_code_and_whether_it_is_retryable() -> None:
    """Guards against a page that is out of date."""
    page = (DOCS / "codes.md").read_text()
    listed = {
        code: retry_cell == "yes" for code, _, retry_cell in CODE_ROW.findall(page)
    }
    assert listed == {e.code: e.retryable for e in product_error_types()}


@pytest.mark.parametrize(
    "schema",
    [
        settings.EntrySettings,
        settings.ControlSettings,
        settings.PeerSettings,
        documents.InventoryDocument,
        documents.DataCentreDocument,
        documents.ServiceDocument,
        documents.RulesDocument,
        documents.ServiceRulesDocument,
        documents.RequestMatchDocument,
    ],
    ids=lambda schema: schema.__name__,
)
def test_operators_page_has_each_key_of_a_document(schema: type) -> None:
    """Guards against an undocumented setting."""
    page = (DOCS / "operators.md").read_text()
    heading = f"### {schema.__name__}"
    assert heading in page
    section = page.split(heading, 1)[1].split("\n##", 1)[0]
    assert set(re.findall(r"^\| `(\w+)` \|", section, re.MULTILINE)) == set(
        schema.__annotations__
    )


def test_operators_page_explains_each_counter() -> None:
    """Guards against an alarm on an undocumented counter."""
    source = Path(protocol.__file__).parent.parent
    pattern = re.compile(r'counters\.add\(\s*"([a-z_]+)"')
    counted = {
        name
        for path in source.rglob("*.py")
        for name in pattern.findall(path.read_text())
    }
    page = (DOCS / "operators.md").read_text().split("## Metrics and alarms", 1)[1]
    assert counted - set(re.findall(r"`([a-z_]+)`", page)) == set()
