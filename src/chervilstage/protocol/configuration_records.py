"""Configurations, changes and outcomes as plain documents, without validation.

The documents of callers are validated in ``documents`` and ``changes``. Data that
processes store and exchange has already been validated and is protected by checksums
and tags, so a control replica starts without loading the validation library.
"""

from __future__ import annotations

import json
from collections.abc import Iterable, Mapping
from typing import Any

from ..state.configuration import (
    Change,
    ChangeOutcome,
    Configuration,
    DataCentre,
    Inventory,
    RequestMatch,
    RoutingDocument,
    Rules,
    Service,
    ServiceRules,
)

Document = dict[str, Any]


def inventory_document(inventory: Inventory) -> Document:
    """Return the document of an inventory."""
    return {
        "data_centres": [
            {"name": d.name, "region": d.region} for d in inventory.data_centres
        ],
        "services": [
            {**s._asdict(), "data_centres": list(s.data_centres)}
            for s in inventory.services
        ],
    }


def inventory_from_document(document: Mapping[str, Any]) -> Inventory:
    """Return the inventory that a document contains."""
    return Inventory(
        data_centres=tuple(DataCentre(**item) for item in document["data_centres"]),
        services=tuple(
            Service(**{**item, "data_centres": tuple(item["data_centres"])})
            for item in document["services"]
        ),
    )


def rules_document(rules: Rules, out: frozenset[str]) -> Document:
    """Return the document of the rules and the data centres out of service."""
    services = [
        {**s._asdict(), "idempotent": [match._asdict() for match in s.idempotent]}
        for s in rules.services
    ]
    return {"services": services, "out": sorted(out)}


def rules_from_document(document: Mapping[str, Any]) -> tuple[Rules, frozenset[str]]:
    """Return the rules in a document and the data centres out of service."""
    services = tuple(_service_rules(item) for item in document.get("services", ()))
    return Rules(services=services), frozenset(document.get("out", ()))


def routing_document(routing: RoutingDocument) -> Document:
    """Return the document of a routing table."""
    return {"version": routing.version, "content": routing.content.decode()}


def routing_from_document(document: Mapping[str, Any]) -> RoutingDocument:
    """Return the routing table that a document contains."""
    return RoutingDocument(
        version=document["version"], content=document["content"].encode()
    )


def configuration_document(configuration: Configuration) -> Document:
    """Return the document of a configuration."""
    document: Document = {
        "revision": configuration.revision,
        "inventory": inventory_document(configuration.inventory),
        "rules": rules_document(configuration.rules, configuration.out),
    }
    if configuration.routing is not None:
        document["routing"] = routing_document(configuration.routing)
    return document


def configuration_from_document(document: Mapping[str, Any]) -> Configuration:
    """Return the configuration that a document contains."""
    rules, out = rules_from_document(document["rules"])
    routing = document.get("routing")
    return Configuration(
        revision=document["revision"],
        inventory=inventory_from_document(document["inventory"]),
        rules=rules,
        out=out,
        routing=None if routing is None else routing_from_document(routing),
    )


def change_document(change: Change) -> Document:
    """Return the document of a change."""
    document: Document = {
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
    if change.routing is not None:
        document["routing"] = routing_document(change.routing)
    if change.taken_out:
        document["taken_out"] = sorted(change.taken_out)
    if change.brought_back:
        document["brought_back"] = sorted(change.brought_back)
    return document


def change_from_document(document: Mapping[str, Any]) -> Change:
    """Return the change that a document contains."""
    inventory = document.get("inventory")
    rules = document.get("rules")
    out = document.get("out")
    routing = document.get("routing")
    return Change(
        operation_id=document["operation_id"],
        operator=document["operator"],
        base_revision=document["base_revision"],
        inventory=None if inventory is None else inventory_from_document(inventory),
        rules=None if rules is None else rules_from_document(rules)[0],
        out=None if out is None else frozenset(out),
        routing=None if routing is None else routing_from_document(routing),
        taken_out=frozenset(document.get("taken_out", ())),
        brought_back=frozenset(document.get("brought_back", ())),
    )


def outcome_from_document(document: Mapping[str, Any]) -> ChangeOutcome:
    """Return the outcome that a document contains."""
    fields = {**document, "data_centres": tuple(document["data_centres"])}
    return ChangeOutcome(**fields)


def encode_change(change: Change) -> bytes:
    """Return the JSON encoding of a change."""
    return json.dumps(change_document(change)).encode()


def encode_outcome(outcome: ChangeOutcome) -> bytes:
    """Return the JSON encoding of an outcome."""
    return json.dumps(outcome._asdict()).encode()


def encode_outcomes(outcomes: Iterable[ChangeOutcome]) -> bytes:
    """Return the JSON encoding of entries of the audit trail."""
    return json.dumps([outcome._asdict() for outcome in outcomes]).encode()


def encode_configuration(configuration: Configuration) -> bytes:
    """Return the JSON encoding of a configuration."""
    return json.dumps(configuration_document(configuration)).encode()


def _service_rules(item: Mapping[str, Any]) -> ServiceRules:
    matches = tuple(RequestMatch(**match) for match in item.get("idempotent", ()))
    return ServiceRules(**{**item, "idempotent": matches})
