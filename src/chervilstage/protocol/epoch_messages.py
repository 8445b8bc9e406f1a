"""Encoding of the consensus messages about group epochs."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from ..state.epoch import (
    AcceptedProposal,
    Ballot,
    Epoch,
    EpochAccept,
    EpochAccepted,
    EpochCommit,
    EpochMember,
    EpochMessage,
    EpochPrepare,
    EpochPromise,
    EpochQuery,
    EpochSettled,
    Floor,
)
from .schemas import pack, schema, unpack, wrap_decode_errors

KIND_NAMES: dict[type[EpochMessage], str] = {
    EpochPrepare: "prepare",
    EpochPromise: "promise",
    EpochAccept: "accept",
    EpochAccepted: "accepted",
    EpochCommit: "commit",
    EpochSettled: "settled",
    EpochQuery: "query",
}


def encode_epoch_message(message: EpochMessage) -> bytes:
    """Return the encoding of a message."""
    encoded = schema("requests").EpochMessage.new_message(
        kind=KIND_NAMES[type(message)]
    )
    if isinstance(message, EpochCommit):
        _write_epoch(encoded, message.epoch)
        return pack(encoded)
    if isinstance(message, EpochSettled):
        encoded.base = message.number
        return pack(encoded)
    encoded.base = message.base
    if not isinstance(message, EpochQuery):
        _write_ballot(encoded.init("ballot"), message.ballot)
    if isinstance(message, EpochAccept):
        _write_epoch(encoded, message.epoch)
    if isinstance(message, EpochPromise) and message.accepted:
        _write_ballot(encoded.init("acceptedBallot"), message.accepted.ballot)
        _write_epoch(encoded, message.accepted.epoch)
    return pack(encoded)


@wrap_decode_errors()
def decode_epoch_message(data: bytes) -> EpochMessage:
    """Decode a message.

    :raises EnvelopeFormatError: the bytes are not a valid message.
    """
    message = unpack(schema("requests").EpochMessage, data)
    kind, base = str(message.kind), message.base
    if kind == "commit":
        return EpochCommit(epoch=_read_epoch(message.epoch))
    if kind == "settled":
        return EpochSettled(number=base)
    if kind == "query":
        return EpochQuery(base=base)
    ballot = _read_ballot(message.ballot)
    if kind == "prepare":
        return EpochPrepare(base=base, ballot=ballot)
    if kind == "accepted":
        return EpochAccepted(base=base, ballot=ballot)
    epoch = _read_epoch(message.epoch)
    if kind == "accept":
        return EpochAccept(base=base, ballot=ballot, epoch=epoch)
    accepted = AcceptedProposal(
        ballot=_read_ballot(message.acceptedBallot), epoch=epoch
    )
    # An accepted epoch has a number from 1; 0 means that none has been accepted.
    return EpochPromise(
        base=base, ballot=ballot, accepted=accepted if epoch.number else None
    )


def _write_ballot(item: Any, ballot: Ballot) -> None:
    item.round = ballot.round
    item.proposer = ballot.proposer


def _read_ballot(item: Any) -> Ballot:
    return Ballot(round=item.round, proposer=item.proposer)


def _write_epoch(message: Any, epoch: Epoch) -> None:
    item = message.init("epoch")
    item.number = epoch.number
    item.members = _member_fields(epoch.members)
    item.lost = _member_fields(epoch.lost)
    item.floors = [{"home": f.home, "stampMs": f.stamp_ms} for f in epoch.floors]
    item.firstFloorMs = epoch.first_floor_ms
    item.formedFloorMs = epoch.formed_floor_ms
    item.fenced = list(epoch.fenced)
    item.joined = list(epoch.joined)


def _read_epoch(item: Any) -> Epoch:
    return Epoch(
        number=item.number,
        members=_read_members(item.members),
        lost=_read_members(item.lost),
        floors=tuple(Floor(home=f.home, stamp_ms=f.stampMs) for f in item.floors),
        first_floor_ms=item.firstFloorMs,
        formed_floor_ms=item.formedFloorMs,
        fenced=tuple(item.fenced),
        joined=tuple(item.joined),
    )


def _member_fields(members: Iterable[EpochMember]) -> list[dict[str, object]]:
    return [
        {"name": m.name, "incarnation": m.incarnation, "dataCentre": m.data_centre}
        for m in members
    ]


def _read_members(items: Iterable[Any]) -> tuple[EpochMember, ...]:
    return tuple(
        EpochMember(
            name=item.name, incarnation=item.incarnation, data_centre=item.dataCentre
        )
        for item in items
    )
