"""Tests of the estimated size of log entries and configurations."""

from __future__ import annotations

import pytest

from chervilstage.coordination.log_bytes import configuration_bytes, entry_bytes
from chervilstage.protocol.configuration_records import encode_configuration
from chervilstage.protocol.log_records import encode_entry
from chervilstage.state.configuration import (
    Change,
    Configuration,
    DataCentre,
    Inventory,
    RequestMatch,
    RoutingDocument,
    Rules,
    Service,
    ServiceRules,
)
from chervilstage.state.log_entries import ChangeCommand, LogEntry

CHANGE = Change(operation_id="i1", operator="maria", base_revision=7)
INVENTORY = Inventory(
    data_centres=tuple(DataCentre(name=f"dc-{n}", region="north") for n in range(50)),
    services=tuple(
        Service(name=f"s-{n}", data_centres=("dc-1",), udp_port=1, tcp_port=2)
        for n in range(500)
    ),
)
MATCH = RequestMatch(method="GET", path_prefix="/stock")
RULES = Rules(
    services=tuple(
        ServiceRules(service=f"s-{n}", idempotent=(MATCH,)) for n in range(500)
    )
)
ROUTING = RoutingDocument(version=3, content=b"x" * 50_000)
CHANGES = [
    CHANGE._replace(inventory=INVENTORY),
    CHANGE._replace(rules=RULES),
    CHANGE._replace(routing=ROUTING),
    CHANGE._replace(out=frozenset(f"dc-{n}" for n in range(1_000))),
]


@pytest.mark.parametrize("change", CHANGES)
def test_estimated_size_of_a_change_is_near_its_stored_size(change: Change) -> None:
    """Guards against a full disk since a part of a change is not counted."""
    entry = LogEntry(position=1, term=1, command=ChangeCommand(change=change, at=1.0))
    stored = len(encode_entry(entry))
    assert entry_bytes(entry) == pytest.approx(stored, rel=0.35)


def test_estimated_size_of_a_configuration_is_near_its_stored_size() -> None:
    """Guards against a snapshot at every change of a large configuration."""
    configuration = Configuration(
        revision=1, inventory=INVENTORY, rules=RULES, out=frozenset(), routing=ROUTING
    )
    stored = len(encode_configuration(configuration))
    assert configuration_bytes(configuration) == pytest.approx(stored, rel=0.35)
