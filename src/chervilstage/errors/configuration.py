"""Errors of configuration changes and the replicated log."""

from __future__ import annotations

from .base import ChervilstageError


class RevisionConflictError(ChervilstageError):
    """A change was made from a revision that is no longer the newest."""

    code = "CS-CONFIG-001"
    template = (
        "change made from revision {base} but revision {current} is in force, "
        "changed by {operator}"
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
    template = "no quorum: {reason}; entries go on with revision {revision}"
    retryable = True


class OperatorCallError(ChervilstageError):
    """A control replica refused an operator's call."""

    code = "CS-CONFIG-005"
    template = "refused with {remote_code} (HTTP {status}): {message}"
