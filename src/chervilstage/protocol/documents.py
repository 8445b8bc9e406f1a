"""The inventory and the rules as documents in TOML and JSON."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Any, NotRequired

from pydantic import ConfigDict, Field, StringConstraints, TypeAdapter, with_config
from typing_extensions import TypedDict

from ..errors.settings import DocumentError
from ..state.configuration import Configuration, Inventory, Rules
from .configuration_records import (
    configuration_from_document,
    inventory_from_document,
    rules_from_document,
)
from .validation import duplicate_problems, read_toml, validate, validate_json

Name = Annotated[str, StringConstraints(pattern=r"^[a-z0-9][a-z0-9.-]{0,62}$")]
Port = Annotated[int, Field(ge=1, le=65535)]
STRICT = ConfigDict(extra="forbid")


@with_config(STRICT)
class DataCentreDocument(TypedDict):
    """A data centre in the inventory document."""

    name: Name
    region: NotRequired[str]


@with_config(STRICT)
class ServiceDocument(TypedDict):
    """A service in the inventory document."""

    name: Name
    data_centres: Annotated[list[Name], Field(min_length=1)]
    udp_port: Port
    tcp_port: Port
    slots: NotRequired[Annotated[int, Field(ge=1, le=10_000)]]
    flow_idle_seconds: NotRequired[Annotated[float, Field(gt=0)]]
    max_flows: NotRequired[Annotated[int, Field(ge=1)]]


@with_config(STRICT)
class InventoryDocument(TypedDict):
    """The inventory document."""

    data_centres: list[DataCentreDocument]
    services: list[ServiceDocument]


@with_config(STRICT)
class RequestMatchDocument(TypedDict):
    """The method and path prefix that match a request in the rules document."""

    method: Annotated[str, StringConstraints(pattern=r"^[A-Z]{1,16}$")]
    path_prefix: Annotated[str, StringConstraints(pattern=r"^/")]


@with_config(STRICT)
class ServiceRulesDocument(TypedDict):
    """The rules of one service in the rules document."""

    service: Name
    idempotent: NotRequired[list[RequestMatchDocument]]
    retry_budget: NotRequired[Annotated[float, Field(ge=0, le=1)]]
    timeout_ms: NotRequired[Annotated[int, Field(ge=1, le=3_600_000)]]
    max_body_bytes: NotRequired[Annotated[int, Field(ge=0)]]


@with_config(STRICT)
class RulesDocument(TypedDict):
    """The rules document; ``out`` names data centres out of service."""

    services: NotRequired[list[ServiceRulesDocument]]
    out: NotRequired[list[Name]]


@with_config(STRICT)
class RoutingTableDocument(TypedDict):
    """A routing table; ``content`` is the text as an operator's system sent it."""

    version: Annotated[int, Field(ge=0)]
    content: str


class ConfigurationDocument(TypedDict):
    """A whole revision of the configuration."""

    revision: int
    inventory: InventoryDocument
    rules: RulesDocument
    routing: NotRequired[RoutingTableDocument]


INVENTORY = TypeAdapter(InventoryDocument)
RULES = TypeAdapter(RulesDocument)
CONFIGURATION = TypeAdapter(ConfigurationDocument)


def parse_inventory(document: Any, source: str) -> Inventory:
    """Validate an inventory document and return its record.

    :param source: the file name for error messages.
    :raises DocumentError: the document violates its schema or repeats a name.
    """
    problems = _duplicate_values(document, "data_centres", "name")
    for field in ("name", "udp_port", "tcp_port"):
        problems += _duplicate_values(document, "services", field)
    validated: InventoryDocument = _validate_document(
        INVENTORY, document, source, problems
    )
    return inventory_from_document(validated)


def parse_rules(document: Any, source: str) -> tuple[Rules, frozenset[str]]:
    """Validate a rules document; return the rules and the data centres out of service.

    :raises DocumentError: the document violates its schema or repeats a name.
    """
    problems = _duplicate_values(document, "services", "service")
    validated: RulesDocument = _validate_document(RULES, document, source, problems)
    return rules_from_document(validated)


def read_inventory(path: Path) -> Inventory:
    """Read an inventory file."""
    return parse_inventory(read_toml(path), str(path))


def read_rules(path: Path) -> tuple[Rules, frozenset[str]]:
    """Read a rules file."""
    return parse_rules(read_toml(path), str(path))


def decode_configuration(data: bytes) -> Configuration:
    """Decode the JSON encoding of a configuration.

    :raises DocumentError: the bytes are not a configuration.
    """
    document = validate_json(CONFIGURATION, data, "configuration")
    parse_rules(document["rules"], "configuration")
    parse_inventory(document["inventory"], "configuration")
    return configuration_from_document(document)


def _validate_document(
    adapter: TypeAdapter[Any], document: Any, source: str, problems: list[str]
) -> Any:
    """Validate a document, and report its schema violations with the given problems."""
    try:
        validated = validate(adapter, document, source)
    except DocumentError as error:
        all_problems = [*error.problems, *problems]
        raise DocumentError(file=source, problems=all_problems) from error
    if problems:
        raise DocumentError(file=source, problems=problems)
    return validated


def _duplicate_values(document: Any, key: str, field: str) -> list[str]:
    """Return the duplicate values of a field, even if the document is invalid."""
    items = document.get(key) if isinstance(document, dict) else None
    if not isinstance(items, list):
        return []
    values = [item.get(field) for item in items if isinstance(item, dict)]
    return duplicate_problems(
        f"{key}.{field}", [v for v in values if isinstance(v, str | int)]
    )
