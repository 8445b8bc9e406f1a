"""The flow state of one settled entry without peers, for tests and benchmarks."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence

from chervilstage.coordination.view import compute_view
from chervilstage.state.configuration import Configuration, Service
from chervilstage.state.counters import Counters
from chervilstage.state.flow_state import FlowState
from chervilstage.state.in_force import ConfigurationInForce
from chervilstage.state.members import MemberTable
from chervilstage.state.registry import UpstreamRegistry
from chervilstage.state.types import (
    Address,
    UpstreamId,
    UpstreamPhase,
    UpstreamRecord,
)
from chervilstage.state.view import View, ViewId


def make_ready_upstream(service: str, address: Address) -> UpstreamRecord:
    """Return the record of a ready upstream."""
    identity = UpstreamId(address=address, incarnation=1, service=service)
    return UpstreamRecord(
        identity=identity,
        request_address=address,
        data_centre="dc",
        sequence=1,
        phase=UpstreamPhase.READY,
        slots=4,
        load=0,
    )


def make_flow_state(
    services: Sequence[Service], upstreams: Mapping[str, Iterable[Address]]
) -> FlowState:
    """Return the state of an entry with a view of some upstreams in force."""
    in_force = ConfigurationInForce()
    in_force.update_if_newer(Configuration(revision=1))
    members = MemberTable(name="e1", data_centre="dc", peers=(), lease_seconds=1.0)
    state = FlowState(
        members=members,
        registry=UpstreamRegistry(),
        in_force=in_force,
        counters=Counters(),
        unreachable=set(),
    )
    weights: dict[str, dict[UpstreamId, float]] = {}
    for service in services:
        state.add_service(service)
        records = [
            make_ready_upstream(service.name, address)
            for address in upstreams[service.name]
        ]
        for record in records:
            state.registry.merge(record, 0.0)
        weights[service.name] = {record.identity: 1.0 for record in records}
    identity = ViewId(number=1, coordinator="e1")
    state.view = compute_view(identity, weights, View())
    return state
