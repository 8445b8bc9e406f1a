"""Encoding of the replicas of the configuration log."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from ..state.replica_set import ReplicaMember
from ..state.types import Address


def member_fields(members: Iterable[ReplicaMember]) -> list[dict[str, Any]]:
    """Return the message fields of replicas."""
    return [
        {
            "name": member.name,
            "identity": member.identity,
            "dataCentre": member.data_centre,
            "host": member.address.host,
            "port": member.address.port,
            "voter": member.voter,
            "outgoing": member.outgoing,
        }
        for member in members
    ]


def read_members(messages: Iterable[Any]) -> tuple[ReplicaMember, ...]:
    """Return the replicas that messages contain."""
    return tuple(
        ReplicaMember(
            name=message.name,
            identity=message.identity,
            data_centre=message.dataCentre,
            address=Address(host=message.host, port=message.port),
            voter=message.voter,
            outgoing=message.outgoing,
        )
        for message in messages
    )
