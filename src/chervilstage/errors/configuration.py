"""Errors of configuration changes and the replicated log."""

from __future__ import annotations

from .base import ChervilstageError


class RevisionConflictError(ChervilstageError):
    """A change is based on a revision that is no longer the newest."""

    code = "CS-CONFIG-001"
    template = (
        "change made from revision {base} but revision {current} is in force, "
        "changed by {operator} at {at}: {difference}"
    )


class ChangeInvalidError(ChervilstageError):
    """A change would make the configuration invalid."""

    code = "CS-CONFIG-002"
    template = "change refused: {problems}"


class LogDamagedError(ChervilstageError):
    """A record before the tail of the log is damaged."""

    code = "CS-CONFIG-003"
    template = "{file}: damaged record at byte {offset}: {reason}"


class NoQuorumError(ChervilstageError):
    """No majority of control replicas answers."""

    code = "CS-CONFIG-004"
    template = (
        "no quorum: {reason}; entries go on with revision {revision}, and status, "
        "members and stale reads of configuration and audit still answer"
    )
    retryable = True


class NotLeaderError(ChervilstageError):
    """A call needs the leader of the replicas."""

    code = "CS-CONFIG-005"
    template = "this replica does not lead; the leader is {leader}"
    retryable = True


class ChangeUnsettledError(ChervilstageError):
    """The outcome of a change did not become known in time."""

    code = "CS-CONFIG-006"
    template = (
        "change {operation_id} was not confirmed within {seconds} s and may still be "
        "accepted; send it again under the same operation id"
    )
    retryable = True


class ReplicaBusyError(ChervilstageError):
    """Too many changes are waiting for a majority."""

    code = "CS-CONFIG-007"
    template = "{waiting} changes wait for a majority of replicas"
    retryable = True


class MembersChangeError(ChervilstageError):
    """A change of the set of replicas is not allowed now."""

    code = "CS-CONFIG-008"
    template = "change of replicas refused: {reason}"


class CallUnknownError(ChervilstageError):
    """No operators' call has this method and path."""

    code = "CS-CONFIG-009"
    template = "no such call: {method} {path}"


class QueryInvalidError(ChervilstageError):
    """A parameter of an operator's call is malformed."""

    code = "CS-CONFIG-010"
    template = "parameter {name}: {reason}"


class ChangeSizeError(ChervilstageError):
    """A change is longer than the limit."""

    code = "CS-CONFIG-011"
    template = "change of {size} bytes exceeds the limit of {limit} bytes"


class OperationReusedError(ChervilstageError):
    """An operation id names a change of another operator or of another kind."""

    code = "CS-CONFIG-012"
    template = "operation id {operation_id} was used before by {operator}"


class LogWriteError(ChervilstageError):
    """The log cannot be written or synced; the replica stops."""

    code = "CS-CONFIG-013"
    template = "{folder}: {reason}"


class LogFullError(ChervilstageError):
    """The disk has no space for the log; the replica waits until space is free."""

    code = "CS-CONFIG-020"
    template = "{folder}: {reason}"
    retryable = True


class TlsFileError(ChervilstageError):
    """The certificate or the key for TLS cannot be loaded."""

    code = "CS-CONFIG-014"
    template = "{file}: {reason}"


class OperatorCallError(ChervilstageError):
    """A control replica refused an operator's call."""

    code = "CS-CONFIG-015"
    template = "refused with {remote_code} (HTTP {status}): {message}"

    def __init__(self, *, status: int, remote_code: str, message: str) -> None:
        super().__init__(status=status, remote_code=remote_code, message=message)
        self.remote_code = remote_code


class FolderInUseError(ChervilstageError):
    """Another process uses the data folder."""

    code = "CS-CONFIG-016"
    template = "{folder}: another process uses this data folder"


class RoutingMissingError(ChervilstageError):
    """No routing table has been accepted yet."""

    code = "CS-CONFIG-017"
    template = "no routing table has been accepted yet"
    retryable = True


class RoutingInvalidError(ChervilstageError):
    """A routing table is malformed or contradicts itself."""

    code = "CS-CONFIG-018"
    template = "routing table refused: {problems}"


class LeaderUnknownError(OperatorCallError):
    """No replica answered as the leader, or the outcome is not known yet."""

    code = "CS-CONFIG-019"
    retryable = True


class LeadLostError(ChervilstageError):
    """A replica lost leadership before a change was confirmed; a new leader decides."""

    code = "CS-CONFIG-021"
    template = (
        "this replica lost the lead before change {operation_id} was confirmed; it may "
        "still be accepted; send it again under the same operation id"
    )
    retryable = True


class CallLateError(ChervilstageError):
    """A call whose order matters arrived after its caller stopped waiting for it."""

    code = "CS-CONFIG-022"
    template = "call not carried out: {reason}"
    retryable = True
