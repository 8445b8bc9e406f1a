"""The JSON documents of operators' calls on replicas, audit and status."""

from __future__ import annotations

from typing import Annotated, Any, Literal, NamedTuple, NotRequired
from urllib.parse import parse_qs, urlsplit

from pydantic import ConfigDict, TypeAdapter, with_config
from typing_extensions import TypedDict

from ..errors.configuration import QueryInvalidError
from ..errors.platform import FieldError
from ..state.replica import Replica
from ..state.replica_set import ReplicaSet
from ..state.types import Peer
from .changes import OperationId, OperatorName
from .control_messages import ProcessStatus
from .documents import Name, Port
from .json_fields import load_json, read_field, require_name, require_object
from .settings import Host
from .validation import validate_json

STRICT = ConfigDict(extra="forbid")


@with_config(STRICT)
class MembersChangeDocument(TypedDict):
    """A change of the set of replicas.

    ``host`` and ``port`` are the address at which the new replica receives frames; they
    are required to add or replace one.
    """

    operation_id: OperationId
    operator: OperatorName
    action: Literal["add", "remove", "replace"]
    name: Name
    data_centre: NotRequired[Name]
    host: NotRequired[Host]
    port: NotRequired[Port]


MEMBERS_CHANGE = TypeAdapter(MembersChangeDocument)

Parameters = dict[str, str]
ReceivedStatus = Annotated[
    ProcessStatus | None, "None where the process did not answer"
]


class Target(NamedTuple):
    """The path and the parameters of a call."""

    path: str
    parameters: Parameters


def parse_target(target: str) -> Target:
    """Return the path and the parameters of a target; of a repeated one, the last."""
    parts = urlsplit(target)
    parameters = {name: values[-1] for name, values in parse_qs(parts.query).items()}
    return Target(path=parts.path, parameters=parameters)


def number_parameter(parameters: Parameters, name: str, default: float) -> float:
    """Return the value of a numeric parameter, or the default if it is missing.

    :raises QueryInvalidError: it is not a number.
    """
    text = parameters.get(name)
    if text is None:
        return default
    try:
        return float(text)
    except ValueError as error:
        raise QueryInvalidError(name=name, reason=f"{text!r} is no number") from error


def decode_members_change(data: bytes) -> MembersChangeDocument:
    """Decode a change of the set of replicas.

    :raises DocumentError: the bytes are not a valid change.
    """
    document: MembersChangeDocument = validate_json(MEMBERS_CHANGE, data, "members")
    return document


def operation_id_from_body(body: bytes) -> str:
    """Return the operation id of an unanswered call, ``unknown`` if it has none."""
    try:
        return read_field(require_object(load_json(body)), "operation_id", require_name)
    except FieldError:
        return "unknown"


def members_document(members: ReplicaSet) -> list[dict[str, Any]]:
    """Return the document of the set of replicas."""
    return [
        {
            "name": member.name,
            "identity": f"{member.identity:016x}",
            "data_centre": member.data_centre,
            "host": member.address.host,
            "port": member.address.port,
            "voter": member.voter,
        }
        for member in members.members
    ]


def replica_document(name: str, replica: Replica, quorum: bool) -> dict[str, Any]:
    """Return the document of a replica's own state.

    :param quorum: whether it leads with a majority, or knows of a leader.
    """
    leader = replica.members.find_by_identity(replica.leader)
    return {
        "name": name,
        "identity": f"{replica.identity:016x}",
        "role": replica.role.value,
        "term": replica.term,
        "leader": leader.name if leader else "",
        "quorum": quorum,
        "commit": replica.commit_index,
        "applied": replica.applied_index,
        "last": replica.log.last_index,
        "revision": replica.applied.configuration.revision,
    }


def process_status_document(status: ReceivedStatus) -> dict[str, Any]:
    """Return the document of a process's status, and whether it answered."""
    if status is None:
        return {"reachable": False, "revision": None, "gauges": {}}
    return {
        "reachable": True,
        "revision": status.revision,
        "gauges": dict(status.gauges),
    }


def entry_document(peer: Peer, status: ReceivedStatus) -> dict[str, Any]:
    """Return the document of an entry and its status."""
    return {
        "name": peer.name,
        "data_centre": peer.data_centre,
        "host": peer.address.host,
        "port": peer.address.port,
        **process_status_document(status),
    }
