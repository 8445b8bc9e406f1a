"""Errors of upstream registration and selection."""

from __future__ import annotations

from .base import ChervilstageError


class AnnouncementError(ChervilstageError):
    """An announcement violates its schema."""

    code = "CS-UPSTREAM-001"
    template = "announcement refused: {reason}"


class UnknownServiceError(ChervilstageError):
    """A service is not in the inventory."""

    code = "CS-UPSTREAM-002"
    template = "no service named {service}"


class UnknownDataCentreError(ChervilstageError):
    """A data centre is not in the inventory."""

    code = "CS-UPSTREAM-003"
    template = "no data centre named {data_centre}"


class NoUpstreamError(ChervilstageError):
    """No upstream of the service can take new work."""

    code = "CS-UPSTREAM-004"
    template = "no upstream of {service} can take new work"
    retryable = True


class NoFollowerError(ChervilstageError):
    """No entry reads upstreams from this replica, so an announcement would be lost."""

    code = "CS-UPSTREAM-005"
    template = "no entry follows this replica"
    retryable = True


class RoutingUnknownError(ChervilstageError):
    """The routing table, which says which services exist, is not known yet."""

    code = "CS-UPSTREAM-006"
    template = "no routing table is known yet"
    retryable = True


class RoutingNotHeldError(ChervilstageError):
    """A replica does not have the routing table that it advertised."""

    code = "CS-UPSTREAM-007"
    template = "the replica does not have version {version} of the routing table"
    retryable = True
