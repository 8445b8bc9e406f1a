"""HTTP calls of operators and their answers.

=======  ==================  =====================================================
method   path                answer
=======  ==================  =====================================================
GET      /v1/configuration   the newest accepted configuration; ``stale=true``
                             answers from this replica alone, without a majority
POST     /v1/changes         the outcome of a change (accepted, refused, conflict)
GET      /v1/audit           the audit trail, oldest first; ``since`` and ``until``
                             (seconds since the epoch), ``operator``,
                             ``data_centre``, ``limit`` (newest ones), ``stale``
GET      /v1/status          this replica, all replicas, all entries
GET      /v1/members         the set of replicas known to this replica
POST     /v1/members         add, remove or replace a replica
GET      /v1/explain         the upstream to which each entry sends a flow;
                             ``service``, ``host`` and ``port`` of the caller
=======  ==================  =====================================================
"""

from __future__ import annotations

import json
import time
from collections.abc import Awaitable, Callable, Mapping
from typing import Any

from ..coordination.configuration import check_resend, select_outcomes
from ..coordination.replica_members import (
    MembersAction,
    MembersRequest,
    change_members,
)
from ..coordination.replica_terms import check_lease, has_quorum_contact
from ..errors.configuration import (
    CallUnknownError,
    ChangeSizeError,
    MembersChangeError,
)
from ..protocol.changes import decode_change
from ..protocol.configuration_records import (
    encode_configuration,
    encode_outcome,
    encode_outcomes,
)
from ..protocol.control_messages import OperatorCall
from ..protocol.explanation_messages import FlowQuery
from ..protocol.operator_documents import (
    MembersChangeDocument,
    Parameters,
    decode_members_change,
    entry_document,
    members_document,
    number_parameter,
    parse_target,
    process_status_document,
    replica_document,
)
from ..state.entry_directory import EntryDirectory
from ..state.replica_set import ReplicaMember
from ..state.types import Address, Peer
from .clock import replica_clock
from .flow_explanations import collect_explanations
from .replica_driver import ReplicaDriver
from .replica_formation import ReplicaFormation
from .status_collector import collect_statuses

MAXIMUM_CHANGE_BYTES = 2 * 1024 * 1024
DEFAULT_AUDIT_ENTRIES = 1_000
# In seconds since the epoch, later than any entry of the audit trail.
MAX_TIMESTAMP_SECONDS = 1e12

CallHandler = Callable[[Parameters, bytes], Awaitable[bytes]]


class OperatorCalls:
    """Answers calls of operators with the replica of this process.

    :param name: the name of this replica.
    """

    def __init__(
        self,
        *,
        name: str,
        driver: ReplicaDriver,
        formation: ReplicaFormation,
        entries: EntryDirectory,
    ) -> None:
        self.name = name
        self.driver = driver
        self.formation = formation
        self.entries = entries
        self.handlers: Mapping[tuple[str, str], CallHandler] = {
            ("GET", "/v1/configuration"): self.configuration,
            ("POST", "/v1/changes"): self.change,
            ("GET", "/v1/audit"): self.audit,
            ("GET", "/v1/status"): self.status,
            ("GET", "/v1/members"): self.members,
            ("POST", "/v1/members"): self.change_members,
            ("GET", "/v1/explain"): self.explain,
        }

    async def answer(self, call: OperatorCall) -> bytes:
        """Return the JSON answer of a call.

        :raises CallUnknownError: there is no such call.
        :raises NotLeaderError: only the leader may answer.
        """
        target = parse_target(call.target)
        handler = self.handlers.get((call.method, target.path))
        if handler is None:
            raise CallUnknownError(method=call.method, path=target.path)
        return await handler(target.parameters, call.body)

    def check_can_read(self, parameters: Parameters) -> None:
        """Check that this replica may answer a read.

        A read without ``stale=true`` needs the lease of the leader.

        :raises NotLeaderError: another replica is the leader.
        :raises NoQuorumError: no replica is known to lead.
        """
        if parameters.get("stale") != "true":
            check_lease(self.driver.replica, replica_clock())

    async def configuration(self, parameters: Parameters, body: bytes) -> bytes:
        """Answer with the newest accepted configuration."""
        self.check_can_read(parameters)
        return encode_configuration(self.driver.replica.applied.configuration)

    async def change(self, parameters: Parameters, body: bytes) -> bytes:
        """Submit a change and answer with its outcome."""
        if len(body) > MAXIMUM_CHANGE_BYTES:
            raise ChangeSizeError(size=len(body), limit=MAXIMUM_CHANGE_BYTES)
        return encode_outcome(await self.driver.submit(decode_change(body)))

    async def audit(self, parameters: Parameters, body: bytes) -> bytes:
        """Answer with the matching entries of the audit trail."""
        self.check_can_read(parameters)
        results = select_outcomes(
            self.driver.replica.applied.outcomes.values(),
            since=number_parameter(parameters, "since", 0.0),
            until=number_parameter(parameters, "until", MAX_TIMESTAMP_SECONDS),
            operator=parameters.get("operator", ""),
            data_centre=parameters.get("data_centre", ""),
        )
        limit = int(number_parameter(parameters, "limit", DEFAULT_AUDIT_ENTRIES))
        return encode_outcomes(results[-limit:] if limit > 0 else [])

    async def members(self, parameters: Parameters, body: bytes) -> bytes:
        """Answer with the set of replicas."""
        replica = self.driver.replica
        leader = replica.members.find_by_identity(replica.leader)
        document = {
            "leader": leader.name if leader else "",
            "members": members_document(replica.members),
        }
        return json.dumps(document).encode()

    async def change_members(self, parameters: Parameters, body: bytes) -> bytes:
        """Add, remove or replace a replica and answer with the outcome."""
        document = decode_members_change(body)
        driver = self.driver
        check_lease(driver.replica, replica_clock())
        operation_id = document["operation_id"]
        outcome = driver.replica.applied.outcomes.get(operation_id)
        if outcome is None:
            member = await self.new_member(document)
            request = MembersRequest(
                operation_id=operation_id,
                operator=document["operator"],
                action=MembersAction(document["action"]),
                name=document["name"],
                member=member,
            )
            now = replica_clock()
            with driver.stop_on_failure():
                effects = change_members(driver.replica, request, now, time.time())
            driver.enqueue(effects)
            outcome = await driver.wait_for_outcome(operation_id)
        return encode_outcome(check_resend(outcome, document["operator"]))

    async def new_member(self, document: MembersChangeDocument) -> ReplicaMember | None:
        """Return the replica that is to join, None if the change removes one."""
        if document["action"] == "remove":
            return None
        if "host" not in document or "port" not in document:
            raise MembersChangeError(reason="host and port of the replica are missing")
        address = Address(host=document["host"], port=document["port"])
        return await self.formation.new_member(document["name"], address)

    async def status(self, parameters: Parameters, body: bytes) -> bytes:
        """Answer with the status of this replica, all replicas and all entries.

        Replicas and entries report the entries that they know. The status of entries
        that only other entries reported is collected in a second pass.
        """
        client = self.formation.client
        replica, now = self.driver.replica, replica_clock()
        replicas = [
            Peer(name=m.name, data_centre=m.data_centre, address=m.address)
            for m in replica.members.members
        ]
        replica_statuses = await collect_statuses(client, replicas)
        for status in replica_statuses.values():
            self.entries.record_entries(status.group if status else (), now)
        known_entries = self.entries.current_entries(now)
        entry_statuses = await collect_statuses(client, known_entries)
        for status in entry_statuses.values():
            self.entries.record_entries(status.group if status else (), now)
        newly_reported_entries = [
            p for p in self.entries.current_entries(now) if p.name not in entry_statuses
        ]
        entry_statuses |= await collect_statuses(client, newly_reported_entries)
        document: dict[str, Any] = {
            "replica": replica_document(
                self.name, replica, has_quorum_contact(replica, replica_clock())
            ),
            "members": [
                {
                    **member,
                    **process_status_document(replica_statuses.get(member["name"])),
                }
                for member in members_document(replica.members)
            ],
            "entries": [
                entry_document(peer, entry_statuses[peer.name])
                for peer in self.entries.current_entries(now)
                if peer.name in entry_statuses
            ],
        }
        return json.dumps(document).encode()

    async def explain(self, parameters: Parameters, body: bytes) -> bytes:
        """Answer with the decision of each entry on the next packet of a flow."""
        query = FlowQuery(
            service=parameters.get("service", ""),
            caller=Address(
                host=parameters.get("host", ""),
                port=int(number_parameter(parameters, "port", 0)),
            ),
        )
        entries = self.entries.current_entries(replica_clock())
        client = self.formation.client
        results = await collect_explanations(client, entries, query)
        return json.dumps(results).encode()
