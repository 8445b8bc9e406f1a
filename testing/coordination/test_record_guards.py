"""Tests of record ownership, one for each condition that prevents a second run."""

from __future__ import annotations

from testtools import TestCase
from testtools.matchers import Equals, IsInstance

from chervilstage.coordination import record_ownership as ownership
from chervilstage.coordination.epoch_agreement import (
    adopt_epoch,
    next_epoch,
    next_members,
    propose_epoch,
    receive_epoch_message,
)
from chervilstage.state.epoch import (
    Epoch,
    EpochAccept,
    EpochAccepted,
    EpochCommit,
    EpochMember,
    EpochPrepare,
    EpochPromise,
    EpochState,
    Floor,
)
from chervilstage.state.outcomes import Answered, NotRun, Unknown
from chervilstage.state.request_records import (
    Answer,
    RecordPhase,
    RecordTable,
    RequestKey,
    RequestRecord,
)

NOW_MS = 1_700_000_000_000
ANSWER = Answer(status=200, headers=(), body=b"booked")


def run_of(name: str, incarnation: int = 1) -> EpochMember:
    """Return a run of an entry; the first letter names its data centre."""
    return EpochMember(name=name, incarnation=incarnation, data_centre=f"dc-{name[0]}")


A1, A2, A3, B1, B2 = (run_of(n) for n in ("a1", "a2", "a3", "b1", "b2"))
GROUP = (A1, A2, B1, B2)
EPOCH = Epoch(number=7, members=GROUP)


def state_of(own: EpochMember, epoch: Epoch, settled: bool = True) -> EpochState:
    """Return the state of an entry under an epoch."""
    state = EpochState(own=own, configured=[m.name for m in (*GROUP, A3)])
    adopt_epoch(state, epoch, 0.0)
    if settled:
        state.settled = epoch.number
        state.peer_settled_epochs = {m.name: epoch.number for m in epoch.members}
    return state


def key_of(owner: EpochMember, epoch: Epoch, stamp_ms: int = NOW_MS) -> RequestKey:
    """Return a key that an entry owns under an epoch."""
    for number in range(1000):
        text = f"v1.{stamp_ms}.{owner.data_centre}.{number}"
        key = RequestKey(text=text, stamp_ms=stamp_ms, home=owner.data_centre)
        found = ownership.find_holders(epoch, key)
        if found and found.owner == owner:
            return key
    raise AssertionError(owner)


def record_of(
    key: RequestKey, phase: RecordPhase, epoch: int = 7, version: int = 1
) -> RequestRecord:
    """Return a record of a key, with an answer if its phase has one."""
    answer = ANSWER if phase is RecordPhase.ANSWERED else None
    return RequestRecord(
        key=key, digest=b"", phase=phase, epoch=epoch, version=version, answer=answer
    )


def table_of(*records: RequestRecord) -> RecordTable:
    """Return a table of records."""
    table = RecordTable(limit=10, retention_ms=600_000)
    for record in records:
        table.put(record)
    return table


def begin(
    state: EpochState, table: RecordTable, key: RequestKey, attempt: int = 2
) -> ownership.RequestDecision:
    """Return the decision for a request 100 s after the epoch came into force."""
    return ownership.begin_request(
        state, table, key, b"", attempt, (), NOW_MS, state.adopted_at + 100.0
    )


class OwnerTests(TestCase):
    """Guards against second runs by an owner with incomplete knowledge."""

    def test_sent_record_is_unknown(self) -> None:
        key = key_of(A1, EPOCH)
        table = table_of(record_of(key, RecordPhase.SENT))
        decision = begin(state_of(A1, EPOCH), table, key)
        assert isinstance(decision, ownership.Finish)
        self.assertThat(decision.outcome, IsInstance(Unknown))

    def test_attempt_that_comes_after_a_later_refusal_is_not_run(self) -> None:
        """Guards against an attempt in transit that runs after a later one was refused.

        The fault soak (seed 15) found three bookings that ran after the last attempt
        of their callers had been answered with "not run".
        """
        key = key_of(A1, EPOCH)
        record = record_of(key, RecordPhase.SENT)
        table = table_of(record)
        ownership.reopen_record(table, record, 5)
        for attempt in (1, 4):
            decision = begin(state_of(A1, EPOCH), table, key, attempt)
            assert isinstance(decision, ownership.Finish)
            self.assertThat(decision.outcome, IsInstance(NotRun))
        for attempt in (0, 5, 6):
            fresh = table_of(*table.records.values())
            again = begin(state_of(A1, EPOCH), fresh, key, attempt)
            self.assertThat(again, IsInstance(ownership.CopyFirst), attempt)

    def test_refusal_outlives_the_next_run_and_a_change_of_holders(self) -> None:
        """Guards against a holder that knows of the next run but not of the refusal."""
        key = key_of(A1, EPOCH)
        refused = record_of(key, RecordPhase.OPEN)._replace(refused=5)
        table = table_of(refused)
        decision = begin(state_of(A1, EPOCH), table, key, 6)
        assert isinstance(decision, ownership.CopyFirst)
        self.assertThat(decision.record.refused, Equals(5))
        ownership.merge_record(table, record_of(key, RecordPhase.OPEN, version=9))
        self.assertThat(table.records[key.text].refused, Equals(5))

    def test_open_record_of_this_epoch_runs(self) -> None:
        key = key_of(A1, EPOCH)
        table = table_of(record_of(key, RecordPhase.OPEN))
        decision = begin(state_of(A1, EPOCH), table, key)
        self.assertThat(decision, IsInstance(ownership.CopyFirst))

    def test_key_below_the_floor_never_runs(self) -> None:
        floors = (Floor(home="dc-a", stamp_ms=NOW_MS + 1),)
        epoch = EPOCH._replace(floors=floors)
        key = key_of(A1, epoch)
        decision = begin(state_of(A1, epoch), table_of(), key)
        assert isinstance(decision, ownership.Finish)
        self.assertThat(decision.outcome, IsInstance(Unknown))

    def test_older_open_record_below_the_floor_never_runs(self) -> None:
        floors = (Floor(home="dc-a", stamp_ms=NOW_MS + 1),)
        epoch = EPOCH._replace(floors=floors)
        key = key_of(A1, epoch)
        table = table_of(record_of(key, RecordPhase.OPEN, epoch=6))
        decision = begin(state_of(A1, epoch), table, key)
        self.assertThat(decision, IsInstance(ownership.Finish))

    def test_old_key_waits_until_records_are_complete(self) -> None:
        epoch = EPOCH._replace(formed_floor_ms=NOW_MS + 1)
        key = key_of(A1, epoch)
        decision = begin(state_of(A1, epoch, settled=False), table_of(), key)
        self.assertThat(decision, IsInstance(ownership.Wait))

    def test_new_key_of_a_joined_home_waits_until_records_are_complete(self) -> None:
        epoch = EPOCH._replace(formed_floor_ms=NOW_MS, joined=("dc-a",))
        key = key_of(A1, epoch)
        decision = begin(state_of(A1, epoch, settled=False), table_of(), key)
        self.assertThat(decision, IsInstance(ownership.Wait))

    def test_fenced_home_waits_until_leases_expire(self) -> None:
        epoch = EPOCH._replace(fenced=("dc-a",))
        state, key = state_of(A1, epoch), key_of(A1, epoch)
        decision = ownership.begin_request(
            state, table_of(), key, b"", 2, (), NOW_MS, state.adopted_at + 1.9
        )
        self.assertThat(decision, IsInstance(ownership.Wait))

    def test_unreachable_holder_is_not_run_only_for_a_first_attempt(self) -> None:
        epoch = EPOCH._replace(members=(B1, B2))
        key = key_of(A1, EPOCH)
        for attempt, outcome in ((0, Unknown), (1, NotRun), (2, Unknown)):
            decision = begin(state_of(B1, epoch), table_of(), key, attempt)
            assert isinstance(decision, ownership.Finish)
            self.assertThat(decision.outcome, IsInstance(outcome))


class FenceTests(TestCase):
    """Guards against a stale owner that sends requests beside the current owner."""

    def test_sending_needs_copy_epoch_and_lease(self) -> None:
        record = record_of(key_of(A1, EPOCH), RecordPhase.SENT)
        state = state_of(A1, EPOCH)
        later = state_of(A1, EPOCH._replace(number=8))
        cases = (
            (state, True, [A2, B1], True),
            (state, True, [A2], True),
            (state, False, [A2, B1], False),
            (state, True, [B1], False),
            (state, True, [], False),
            (later, True, [A2, B1], False),
        )
        for case, copied, fresh, expected in cases:
            allowed = ownership.can_send(case, record, copied, fresh)
            self.assertThat(allowed, Equals(expected))

    def test_restarted_peer_grants_no_lease(self) -> None:
        record = record_of(key_of(A1, EPOCH), RecordPhase.SENT)
        again = [run_of("a2", 2), run_of("b1", 2)]
        allowed = ownership.can_send(state_of(A1, EPOCH), record, True, again)
        self.assertThat(allowed, Equals(False))

    def test_copy_of_another_epoch_is_refused(self) -> None:
        record = record_of(key_of(A1, EPOCH), RecordPhase.SENT)
        for number, is_accepted in ((6, False), (7, True), (8, False)):
            copy = ownership.RecordCopy(epoch=number, record=record)
            answer = ownership.receive_copy(state_of(A2, EPOCH), table_of(), copy)
            self.assertThat(answer, Equals(is_accepted))

    def test_restarted_holder_refuses_a_copy(self) -> None:
        record = record_of(key_of(A1, EPOCH), RecordPhase.SENT)
        copy = ownership.RecordCopy(epoch=7, record=record)
        state = state_of(run_of("a2", 2), EPOCH)
        self.assertThat(ownership.receive_copy(state, table_of(), copy), Equals(False))

    def test_version_of_an_older_epoch_overrides_nothing(self) -> None:
        key = key_of(A1, EPOCH)
        table = table_of(record_of(key, RecordPhase.SENT, epoch=8, version=1))
        ownership.merge_record(table, record_of(key, RecordPhase.OPEN, version=4))
        self.assertThat(table.records[key.text].phase, Equals(RecordPhase.SENT))

    def test_answer_is_final(self) -> None:
        key = key_of(A1, EPOCH)
        table = table_of(record_of(key, RecordPhase.ANSWERED))
        ownership.merge_record(table, record_of(key, RecordPhase.OPEN, epoch=9))
        self.assertThat(table.records[key.text].answer, Equals(ANSWER))

    def test_finished_record_answers_the_next_attempt(self) -> None:
        key = key_of(A1, EPOCH)
        record = record_of(key, RecordPhase.SENT)
        table = table_of(record)
        ownership.finish_record(table, record, ANSWER)
        decision = begin(state_of(A2, EPOCH), table, key)
        assert isinstance(decision, ownership.Finish)
        self.assertThat(decision.outcome, Equals(Answered(answer=ANSWER)))

    def test_reopened_record_keeps_its_epoch(self) -> None:
        record = record_of(key_of(A1, EPOCH), RecordPhase.SENT, epoch=6)
        opened = ownership.reopen_record(table_of(record), record)
        self.assertThat((opened.epoch, opened.version), Equals((6, 2)))


class LossTests(TestCase):
    """Guards against an epoch that does not fence keys whose records may be lost."""

    def test_one_loss_keeps_the_floor(self) -> None:
        after = next_epoch(state_of(B1, EPOCH), (A2, B1, B2), NOW_MS)
        self.assertThat((after.fenced, after.lost), Equals(((), (A1,))))

    def test_second_loss_before_the_copy_is_complete_raises_the_floor(self) -> None:
        first = next_epoch(state_of(B1, EPOCH), (A2, B1, B2), NOW_MS)
        state = state_of(B1, first, settled=False)
        second = next_epoch(state, (B1, B2), NOW_MS)
        self.assertThat(second.fenced, Equals(("dc-a",)))
        self.assertThat(second.floor("dc-a") > NOW_MS, Equals(True))

    def test_second_loss_after_the_copy_is_complete_keeps_the_floor(self) -> None:
        first = next_epoch(state_of(B1, EPOCH), (A2, B1, B2), NOW_MS)
        after = next_epoch(state_of(B1, first), (A2, B1), NOW_MS)
        self.assertThat((after.fenced, after.lost), Equals(((), (B2,))))

    def test_two_losses_at_once_raise_the_floor(self) -> None:
        wide = Epoch(number=7, members=(A1, A2, A3, B1, B2))
        after = next_epoch(state_of(B1, wide), (A3, B1, B2), NOW_MS)
        self.assertThat(after.fenced, Equals(("dc-a",)))

    def test_home_without_a_surviving_member_raises_the_floor(self) -> None:
        before = EPOCH._replace(members=(B1, B2))
        after = next_epoch(state_of(B1, before), (A1, B1, B2), NOW_MS)
        self.assertThat(after.fenced, Equals(("dc-a",)))

    def test_home_counts_as_joined_until_records_are_complete(self) -> None:
        wide = next_epoch(state_of(B1, EPOCH), (*GROUP, A3), NOW_MS)
        state = state_of(B1, wide, settled=False)
        after = next_epoch(state, (A1, A2, A3, B1), NOW_MS)
        self.assertThat((wide.joined, after.joined), Equals((("dc-a",), ("dc-a",))))


class AgreementTests(TestCase):
    """Guards against two different epochs with the same number."""

    def test_minority_changes_nothing(self) -> None:
        state = state_of(B1, EPOCH)
        self.assertThat(next_members(state, (B1, B2), (B1, B2)), Equals(None))
        propose_epoch(state, (B1, B2), NOW_MS, 0.0)
        ballot = state.ballot
        assert ballot
        promise = EpochPromise(base=7, ballot=ballot)
        receive_epoch_message(state, "b2", promise, 0.0)
        accepted = EpochAccepted(base=7, ballot=ballot)
        receive_epoch_message(state, "b2", accepted, 0.0)
        self.assertThat(state.current.number, Equals(7))

    def test_two_restarted_entries_do_not_stop_four(self) -> None:
        state, again = state_of(A1, EPOCH), (run_of("b1", 2), run_of("b2", 2))
        wanted = (A1, A2, *again)
        self.assertThat(next_members(state, wanted, wanted), Equals(wanted))
        alone = (A1, *again)
        self.assertThat(next_members(state_of(A1, EPOCH), alone, alone), Equals(None))

    def test_accepted_proposal_outlives_its_proposer(self) -> None:
        voters = {m.name: state_of(m, EPOCH) for m in GROUP}
        first = voters["a1"]
        propose_epoch(first, GROUP[:3], NOW_MS, 0.0)
        assert first.ballot
        prepare = EpochPrepare(base=7, ballot=first.ballot)
        accept = EpochAccept(base=7, ballot=first.ballot, epoch=first.proposed)  # type: ignore[arg-type]
        for name in ("a2", "b1"):
            receive_epoch_message(voters[name], "a1", prepare, 0.0)
            receive_epoch_message(voters[name], "a1", accept, 0.0)
        self.assertThat(voters["a2"].highest_agreed_number(), Equals(8))
        other = voters["b1"]
        propose_epoch(other, (B1, B2, A2), NOW_MS, 0.0)
        assert other.ballot
        for name in ("a2", "b2"):
            prepare = EpochPrepare(base=7, ballot=other.ballot)
            for effect in receive_epoch_message(voters[name], "b1", prepare, 0.0):
                receive_epoch_message(other, name, effect.message, 0.0)  # type: ignore[union-attr]
        self.assertThat(other.proposed, Equals(accept.epoch))

    def test_promise_refuses_an_older_ballot(self) -> None:
        state = state_of(A1, EPOCH)
        newer = propose_epoch(state_of(B2, EPOCH), GROUP[1:], NOW_MS, 0.0)[0].message  # type: ignore[union-attr]
        older = propose_epoch(state_of(A2, EPOCH), GROUP[:3], NOW_MS, 0.0)[0].message  # type: ignore[union-attr]
        receive_epoch_message(state, "b2", newer, 0.0)
        self.assertThat(receive_epoch_message(state, "a2", older, 0.0), Equals([]))

    def test_restarted_entry_has_no_vote(self) -> None:
        state = state_of(run_of("a1", 2), EPOCH)
        prepare = propose_epoch(state_of(A2, EPOCH), GROUP[1:], NOW_MS, 0.0)[0].message  # type: ignore[union-attr]
        self.assertThat(receive_epoch_message(state, "a2", prepare, 0.0), Equals([]))

    def test_older_epoch_is_answered_with_the_newer(self) -> None:
        state = state_of(A1, EPOCH)
        stale = EpochPrepare(base=6, ballot=state.promised)
        (effect,) = receive_epoch_message(state, "a2", stale, 0.0)
        self.assertThat(effect.message, Equals(EpochCommit(epoch=EPOCH)))  # type: ignore[union-attr]
