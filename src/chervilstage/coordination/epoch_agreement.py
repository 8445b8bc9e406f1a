"""Agreement on the next group epoch.

The epoch after N is chosen by single-decree Paxos among the members of N. Promises and
accepted proposals are kept in memory only: a member is one run of an entry, so a
restarted entry has no vote in an epoch that lists its earlier run.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

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
    EpochState,
    Floor,
)

# Tolerated lead of a caller's clock over an entry's clock; keys with a later time stamp
# are refused.
MAXIMUM_CLOCK_SKEW_MS = 2_000
# Twice the lease of a member. After this time an entry that was partitioned together
# with the other holder has no valid lease from a majority and runs no request.
FENCE_SECONDS = 2.0
# Floors are ahead of the proposer's clock, so that a key that was tried before a loss,
# or by an entry whose lease has not expired yet, is not mistaken for a later key.
FLOOR_MARGIN_MS = MAXIMUM_CLOCK_SKEW_MS + int(FENCE_SECONDS * 1000)


class SendEpoch(NamedTuple):
    """Send a message to an entry."""

    to: str
    message: EpochMessage


class EpochAdopted(NamedTuple):
    """This entry has adopted a newer epoch."""

    epoch: Epoch


EpochEffect = SendEpoch | EpochAdopted


def propose_epoch(
    state: EpochState, wanted: Iterable[EpochMember], now_ms: int, now: float
) -> list[EpochEffect]:
    """Start a ballot that proposes an epoch with the wanted members."""
    members = tuple(sorted(wanted))
    state.proposed = next_epoch(state, members, now_ms)
    proposer = f"{state.own.name}#{state.own.incarnation}"
    state.ballot = Ballot(round=state.promised.round + 1, proposer=proposer)
    state.promises = {}
    state.accepted_by = set()
    prepare = EpochPrepare(base=state.current.number, ballot=state.ballot)
    return _send_to_voters(state, prepare, now)


def next_members(
    state: EpochState, live: Iterable[EpochMember], staying: Iterable[EpochMember]
) -> tuple[EpochMember, ...] | None:
    """Return the members that this entry should propose, or None.

    The live voter with the lowest name proposes, and so does a voter that has accepted
    a proposal without learning that it was chosen. The first epoch needs a majority of
    the configured entries.

    :param live: the runs of entries that are live, including this one.
    :param staying: those of them that are not leaving.
    """
    live = list(live)
    wanted = tuple(sorted(staying))
    _record_ended_runs(state, live)
    voters = set(_voters(state)) - {m.name for m in state.ended}
    live_voters = sorted(m.name for m in live if m.name in voters)
    unchanged = set(wanted) == set(state.current.members)
    if not wanted or (unchanged and not state.accepted):
        return None
    if not _can_vote(state) or not _is_majority(state, live_voters):
        return None
    has_lowest_name = live_voters[0] == state.own.name
    return wanted if has_lowest_name or state.accepted else None


def next_epoch(
    state: EpochState, members: tuple[EpochMember, ...], now_ms: int
) -> Epoch:
    """Return the epoch that follows the current one with the given members.

    The floor of a home is raised if two or more of its possible holders may have been
    lost since all records were last copied, or if none of its members continues.
    """
    before = state.current
    floor_ms = now_ms + FLOOR_MARGIN_MS
    if not before.number:
        return Epoch(
            number=now_ms // 1000,
            members=members,
            first_floor_ms=floor_ms,
            formed_floor_ms=floor_ms,
        )
    settled = state.is_group_settled()
    earlier_lost = () if settled else before.lost
    joined = {m.data_centre for m in set(members) - set(before.members)}
    gone = {*earlier_lost, *before.members} - set(members)
    floors = {floor.home: floor.stamp_ms for floor in before.floors}
    homes = sorted({m.data_centre for m in (*members, *before.members)})
    fenced = [h for h in homes if _is_record_loss_possible(before, members, gone, h)]
    floors.update(dict.fromkeys(fenced, floor_ms))
    return Epoch(
        number=before.number + 1,
        members=members,
        lost=tuple(sorted(gone)),
        floors=tuple(Floor(home=h, stamp_ms=ms) for h, ms in sorted(floors.items())),
        first_floor_ms=before.first_floor_ms,
        formed_floor_ms=floor_ms,
        fenced=tuple(fenced),
        joined=tuple(sorted(joined if settled else {*joined, *before.joined})),
    )


def receive_epoch_message(
    state: EpochState, sender: str, message: EpochMessage, now: float
) -> list[EpochEffect]:
    """Handle a message from another entry or from this one."""
    if isinstance(message, EpochCommit):
        return adopt_epoch(state, message.epoch, now)
    if isinstance(message, EpochSettled):
        state.peer_settled_epochs[sender] = message.number
        return []
    if message.base < state.current.number:
        commit = EpochCommit(epoch=state.current)
        return [SendEpoch(to=sender, message=commit)]
    if message.base > state.current.number or not _can_vote(state):
        return []
    if isinstance(message, EpochQuery):
        return []
    if isinstance(message, EpochPrepare):
        return _receive_prepare(state, sender, message)
    if isinstance(message, EpochPromise):
        return _receive_promise(state, sender, message, now)
    if isinstance(message, EpochAccept):
        return _receive_accept(state, sender, message)
    return _receive_accepted(state, sender, message, now)


def synchronize_epochs(
    state: EpochState, reported: Mapping[str, int]
) -> list[EpochEffect]:
    """Query peers that report a later epoch; send the epoch to those that lag.

    A peer that has accepted an epoch without learning that it was chosen reports it
    too, so that either side can recover from a lost message.

    :param reported: the epoch that each live peer reports.
    """
    number = state.current.number
    effects: list[EpochEffect] = []
    for name, epoch in sorted(reported.items()):
        if epoch > number:
            effects.append(SendEpoch(to=name, message=EpochQuery(base=number)))
        elif epoch < number:
            commit = EpochCommit(epoch=state.current)
            effects.append(SendEpoch(to=name, message=commit))
    return effects


def adopt_epoch(state: EpochState, epoch: Epoch, now: float) -> list[EpochEffect]:
    """Make a chosen epoch the current one, unless that one is at least as new."""
    if epoch.number <= state.current.number:
        return []
    state.current = epoch
    state.promised = Ballot()
    state.accepted = None
    state.ballot = None
    state.proposed = None
    state.complete_members = set()
    state.adopted_at = now
    state.ended &= set(epoch.members)
    mark_records_received(state, state.own.name)
    return [EpochAdopted(epoch=epoch)]


def mark_records_received(state: EpochState, sender: str) -> None:
    """Record that all request records of a member have been received."""
    state.complete_members.add(sender)
    names = {m.name for m in state.current.members}
    if state.is_member() and names <= state.complete_members:
        state.settled = state.current.number


def _is_record_loss_possible(
    before: Epoch,
    members: tuple[EpochMember, ...],
    gone: set[EpochMember],
    home: str,
) -> bool:
    """Return whether all holders of some record of a home may have been lost."""
    local = [m for m in members if m.data_centre == home]
    if local and not set(local) & set(before.members):
        return True
    # The second holder of a home with one entry may be any other entry of the group.
    is_any_entry_possible = min(len(local), len(before.home_members(home))) < 2
    possible_holders = [
        m for m in gone if is_any_entry_possible or m.data_centre == home
    ]
    return len(possible_holders) >= 2


def _can_vote(state: EpochState) -> bool:
    return state.current.number == 0 or state.is_member()


def _record_ended_runs(state: EpochState, live: Iterable[EpochMember]) -> None:
    for member in live:
        earlier = state.current.member(member.name)
        if earlier is not None and earlier.incarnation < member.incarnation:
            state.ended.add(earlier)


def _voters(state: EpochState) -> list[str]:
    if state.current.number:
        return [m.name for m in state.current.members]
    return list(state.configured)


def _is_majority(state: EpochState, names: Iterable[str]) -> bool:
    """Return whether the named voters are enough to decide.

    A later run of an entry proves that its earlier run casts no further vote. The
    other voters decide by a majority of themselves that intersects every majority of
    all voters, so that a simultaneous restart of two entries does not block a group
    of four.
    """
    voters = _voters(state)
    ended = {m.name for m in state.ended & set(state.current.members)}
    votes = len((set(names) & set(voters)) - ended)
    majority = len(voters) // 2 + 1
    return votes * 2 > len(voters) - len(ended) and votes > len(voters) - majority


def _send_to_voters(
    state: EpochState, message: EpochMessage, now: float
) -> list[EpochEffect]:
    """Send a message to all voters; this entry handles its own copy at once."""
    effects: list[EpochEffect] = [
        SendEpoch(to=name, message=message)
        for name in _voters(state)
        if name != state.own.name
    ]
    for effect in receive_epoch_message(state, state.own.name, message, now):
        if isinstance(effect, SendEpoch) and effect.to == state.own.name:
            effects += receive_epoch_message(state, state.own.name, effect.message, now)
        else:
            effects.append(effect)
    return effects


def _receive_prepare(
    state: EpochState, sender: str, message: EpochPrepare
) -> list[EpochEffect]:
    if message.ballot < state.promised:
        return []
    state.promised = message.ballot
    promise = EpochPromise(
        base=message.base, ballot=message.ballot, accepted=state.accepted
    )
    return [SendEpoch(to=sender, message=promise)]


def _receive_promise(
    state: EpochState, sender: str, message: EpochPromise, now: float
) -> list[EpochEffect]:
    if message.ballot != state.ballot or state.proposed is None:
        return []
    was_majority = _is_majority(state, state.promises)
    state.promises[sender] = message
    if was_majority or not _is_majority(state, state.promises):
        return []
    earlier = [p.accepted for p in state.promises.values() if p.accepted]
    if earlier:
        state.proposed = max(earlier, key=lambda a: a.ballot).epoch
    accept = EpochAccept(base=message.base, ballot=message.ballot, epoch=state.proposed)
    return _send_to_voters(state, accept, now)


def _receive_accept(
    state: EpochState, sender: str, message: EpochAccept
) -> list[EpochEffect]:
    if message.ballot < state.promised:
        return []
    state.promised = message.ballot
    state.accepted = AcceptedProposal(ballot=message.ballot, epoch=message.epoch)
    accepted = EpochAccepted(base=message.base, ballot=message.ballot)
    return [SendEpoch(to=sender, message=accepted)]


def _receive_accepted(
    state: EpochState, sender: str, message: EpochAccepted, now: float
) -> list[EpochEffect]:
    if message.ballot != state.ballot or state.proposed is None:
        return []
    state.accepted_by.add(sender)
    if not _is_majority(state, state.accepted_by):
        return []
    epoch = state.proposed
    commit = EpochCommit(epoch=epoch)
    names = {*_voters(state), *(m.name for m in epoch.members)} - {state.own.name}
    effects: list[EpochEffect] = [
        SendEpoch(to=name, message=commit) for name in sorted(names)
    ]
    return effects + adopt_epoch(state, epoch, now)
