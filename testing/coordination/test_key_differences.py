"""Tests of the differences between two configurations."""

from __future__ import annotations

from chervilstage.coordination.key_differences import describe, differences
from chervilstage.state.configuration import (
    Configuration,
    DataCentre,
    Inventory,
    Service,
)


def test_each_changed_key_is_listed_with_both_values() -> None:
    """Guards against an audit trail that omits a changed value."""
    service = Service(
        name="alley-desk", data_centres=("gl-erie",), udp_port=1, tcp_port=2
    )
    centres = (DataCentre(name="gl-erie"),)
    before = Configuration(
        inventory=Inventory(data_centres=centres, services=(service,))
    )
    changed = service._replace(slots=2)
    after = before._replace(
        inventory=Inventory(data_centres=centres, services=(changed,)),
        out=frozenset({"gl-erie"}),
    )
    assert [describe(d) for d in differences(before, after)] == [
        "out.gl-erie: (absent) -> out of service",
        "services.alley-desk.slots: 4 -> 2",
    ]
    assert differences(before, before) == []
