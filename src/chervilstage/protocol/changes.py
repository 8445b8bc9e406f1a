"""Encoding of configuration changes and their outcomes as JSON."""

from __future__ import annotations

from typing import Annotated, NotRequired

from pydantic import ConfigDict, Field, StringConstraints, TypeAdapter, with_config
from typing_extensions import TypedDict

from ..state.configuration import Change, ChangeOutcome
from .configuration_records import change_from_document, outcome_from_document
from .documents import (
    InventoryDocument,
    Name,
    RoutingTableDocument,
    RulesDocument,
    parse_inventory,
    parse_rules,
)
from .validation import validate_json

OperationId = Annotated[str, StringConstraints(pattern=r"^[A-Za-z0-9-]{1,64}$")]
OperatorName = Annotated[str, StringConstraints(min_length=1, max_length=64)]
Names = Annotated[list[Name], Field(max_length=1000)]
STRICT = ConfigDict(extra="forbid")


@with_config(STRICT)
class ChangeDocument(TypedDict):
    """A change; absent parts stay unchanged.

    ``out`` names all data centres out of service; ``taken_out`` and ``brought_back``
    name only those that are taken out of service or brought back.
    """

    operation_id: OperationId
    operator: OperatorName
    base_revision: int | None
    inventory: NotRequired[InventoryDocument]
    rules: NotRequired[RulesDocument]
    out: NotRequired[Names]
    routing: NotRequired[RoutingTableDocument]
    taken_out: NotRequired[Names]
    brought_back: NotRequired[Names]


class OutcomeDocument(TypedDict):
    """The outcome of a change; ``at`` is in seconds since the epoch."""

    operation_id: str
    operator: str
    revision_before: int
    revision_after: int
    code: str
    message: str
    at: float
    difference: str
    data_centres: list[str]


CHANGE = TypeAdapter(ChangeDocument)
OUTCOME = TypeAdapter(OutcomeDocument)
OUTCOMES = TypeAdapter(list[OutcomeDocument])


def decode_change(data: bytes) -> Change:
    """Decode a change.

    :raises DocumentError: the bytes are not a valid change.
    """
    document: ChangeDocument = validate_json(CHANGE, data, "change")
    if "inventory" in document:
        parse_inventory(document["inventory"], "change")
    if "rules" in document:
        parse_rules(document["rules"], "change")
    return change_from_document(document)


def decode_outcome(data: bytes) -> ChangeOutcome:
    """Decode an outcome.

    :raises DocumentError: the bytes are not a valid outcome.
    """
    return outcome_from_document(validate_json(OUTCOME, data, "outcome"))


def decode_outcomes(data: bytes) -> list[ChangeOutcome]:
    """Decode entries of the audit trail.

    :raises DocumentError: the bytes are not a valid list of outcomes.
    """
    documents = validate_json(OUTCOMES, data, "audit trail")
    return [outcome_from_document(document) for document in documents]
