"""Encoding of configuration changes and their outcomes as JSON."""

from __future__ import annotations

import json
from typing import Annotated, NotRequired

from pydantic import ConfigDict, StringConstraints, TypeAdapter, with_config
from typing_extensions import TypedDict

from ..state.configuration import Change, ChangeOutcome
from .documents import (
    InventoryDocument,
    Name,
    RulesDocument,
    inventory_document,
    parse_inventory,
    parse_rules,
    rules_document,
)
from .validation import validate_json

OperationId = Annotated[str, StringConstraints(pattern=r"^[A-Za-z0-9-]{1,64}$")]
OperatorName = Annotated[str, StringConstraints(min_length=1, max_length=64)]
STRICT = ConfigDict(extra="forbid")


@with_config(STRICT)
class ChangeDocument(TypedDict):
    """A change; absent parts stay as they are."""

    operation_id: OperationId
    operator: OperatorName
    base_revision: int
    inventory: NotRequired[InventoryDocument]
    rules: NotRequired[RulesDocument]
    out: NotRequired[list[Name]]


class OutcomeDocument(TypedDict):
    """The outcome of a change."""

    operation_id: str
    operator: str
    revision_before: int
    revision_after: int
    code: str
    message: str


CHANGE = TypeAdapter(ChangeDocument)
OUTCOME = TypeAdapter(OutcomeDocument)


def encode_change(change: Change) -> bytes:
    """Return the JSON encoding of a change."""
    document: ChangeDocument = {
        "operation_id": change.operation_id,
        "operator": change.operator,
        "base_revision": change.base_revision,
    }
    if change.inventory is not None:
        document["inventory"] = inventory_document(change.inventory)
    if change.rules is not None:
        document["rules"] = rules_document(change.rules, frozenset())
    if change.out is not None:
        document["out"] = sorted(change.out)
    return json.dumps(document).encode()


def decode_change(data: bytes) -> Change:
    """Decode a change.

    :raises DocumentError: the bytes are no valid change.
    """
    document: ChangeDocument = validate_json(CHANGE, data, "change")
    inventory = document.get("inventory")
    rules = document.get("rules")
    out = document.get("out")
    return Change(
        operation_id=document["operation_id"],
        operator=document["operator"],
        base_revision=document["base_revision"],
        inventory=parse_inventory(inventory, "change") if inventory else None,
        rules=parse_rules(rules, "change")[0] if rules else None,
        out=None if out is None else frozenset(out),
    )


def encode_outcome(outcome: ChangeOutcome) -> bytes:
    """Return the JSON encoding of an outcome."""
    return json.dumps(outcome._asdict()).encode()


def decode_outcome(data: bytes) -> ChangeOutcome:
    """Decode an outcome.

    :raises DocumentError: the bytes are no outcome.
    """
    return ChangeOutcome(**validate_json(OUTCOME, data, "outcome"))
