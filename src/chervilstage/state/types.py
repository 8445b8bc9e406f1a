"""Records that all layers use."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple


class Address(NamedTuple):
    """An IP address and a port."""

    host: str
    port: int


class UpstreamPhase(StrEnum):
    """The phase that an upstream announces.

    A leaving upstream accepts nothing new but keeps its open flows; one that has left
    has ended.
    """

    READY = "ready"
    LEAVING = "leaving"
    LEFT = "left"


class UpstreamId(NamedTuple):
    """The identity of one run of an upstream.

    The service is part of the identity, so that an address that is reassigned to
    another service never receives packets of the previous one.
    """

    address: Address
    incarnation: int
    service: str


class UpstreamRecord(NamedTuple):
    """The newest announcement of an upstream.

    ``slots`` is the number of requests it can run at once; ``load`` is the number it
    reports as running, which may lag or be wrong. ``label`` is the number that
    identifies it in relayed packets, 0 if it has none. ``cold_seconds`` is how much
    longer it stays cold after this announcement.
    """

    identity: UpstreamId
    request_address: Address
    data_centre: str
    sequence: int
    phase: UpstreamPhase
    slots: int
    load: int
    label: int = 0
    cold_seconds: float = 0.0


class Peer(NamedTuple):
    """The name, data centre and address of an entry or control replica.

    The other entry VMs of an entry group are peers from the settings.
    """

    name: str
    data_centre: str
    address: Address
