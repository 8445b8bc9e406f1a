"""Tests of request record ownership under losses, freezes and partitions."""

from __future__ import annotations

from collections import Counter

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from chervilstage.coordination.record_ownership import find_holders
from chervilstage.state.epoch import Epoch
from chervilstage.state.outcomes import Answered, NotRun
from chervilstage.state.request_records import RequestKey
from testing.support.request_fakes import RequestGroup

LAYOUT = {"a1": "gl-erie", "a2": "gl-erie", "b1": "gl-huron", "b2": "gl-huron"}
WIDE = {**LAYOUT, "a3": "gl-erie"}
ENTRIES = st.integers(0, 4)
REACTIONS = st.sampled_from(["run", "run", "run", "refuse", "lose answer", ""])
PAUSES = st.sampled_from([0.0, 0.5, 1.5, 3.0])
FAULTS = st.sampled_from(["", "", "lose", "freeze", "cut", "restart"])
TARGETS = st.sampled_from(["owner", "owner", "second", "second", "both", "others"])
REPAIR_SECONDS = st.sampled_from([0.5, 6.0, 6.0])


class OwnershipMachine(RuleBasedStateMachine):
    """Guards against second runs, changed answers and false "not run" outcomes."""

    @initialize(seed=st.integers(0, 2**32), layout=st.sampled_from([LAYOUT, WIDE]))
    def begin(self, seed: int, layout: dict[str, str]) -> None:
        self.group = RequestGroup(layout=layout, seed=seed)
        self.keys: list[RequestKey] = []
        self.attempts: Counter[str] = Counter()
        self.group.advance(6.0)

    @rule(
        home=st.sampled_from(["gl-erie", "gl-erie", "gl-huron"]),
        entry=ENTRIES,
        reaction=REACTIONS,
        ahead_ms=st.sampled_from([0, 0, 1900]),
        before=FAULTS,
        struck=TARGETS,
    )
    def first_attempt(
        self,
        home: str,
        entry: int,
        reaction: str,
        ahead_ms: int,
        before: str,
        struck: str,
    ) -> None:
        stamp_ms = self.group.now_ms() + ahead_ms
        text = f"v1.{stamp_ms}.{home}.{len(self.keys)}"
        self.keys.append(RequestKey(text=text, stamp_ms=stamp_ms, home=home))
        self.inject_fault(before, struck)
        self.make_attempt(self.keys[-1], entry, reaction)

    @precondition(lambda self: bool(self.keys))
    @rule(position=st.sampled_from([0, 0, 0, 1, 2]), entry=ENTRIES, reaction=REACTIONS)
    def retry(self, position: int, entry: int, reaction: str) -> None:
        key = self.keys[-1 - position % len(self.keys)]
        pending = self.group.current_attempts.get(key.text)
        if pending and self.group.now < pending.expires_at:
            self.group.advance(pending.expires_at - self.group.now)
        self.make_attempt(key, entry, reaction)

    def make_attempt(self, key: RequestKey, entry: int, reaction: str) -> None:
        names = sorted(self.group.layout)
        self.attempts[key.text] += 1
        self.group.send_attempt(key, self.attempts[key.text], names[entry % len(names)])
        self.group.deliver()
        if reaction:
            for copier in self.group.entries.values():
                if not copier.frozen:
                    self.group.reject_pending_copies(copier)
            self.group.handle_oldest_request(reaction)
        self.group.deliver()

    @rule(
        home=st.sampled_from(["gl-erie", "gl-erie", "gl-huron"]),
        entries=st.tuples(ENTRIES, ENTRIES),
        faults=st.tuples(FAULTS, FAULTS),
        struck=st.tuples(TARGETS, TARGETS),
        seconds=st.sampled_from([0.5, 1.5, 3.0]),
        repaired=st.sampled_from(["", "healed", "restarted"]),
    )
    def attempt_between_faults(
        self,
        home: str,
        entries: tuple[int, int],
        faults: tuple[str, str],
        struck: tuple[str, str],
        seconds: float,
        repaired: str,
    ) -> None:
        """Cause a fault before and after a first attempt, then retry twice."""
        self.first_attempt(home, entries[0], "run", 0, faults[0], struck[0])
        self.inject_fault(faults[1], struck[1])
        self.group.advance(seconds)
        if repaired:
            self.repair(1.5, repaired == "restarted")
        for _ in range(2):
            self.retry(0, entries[1], "run")
            self.group.advance(seconds)

    @precondition(lambda self: bool(self.keys))
    @rule(fault=FAULTS, struck=TARGETS, seconds=PAUSES)
    def fault(self, fault: str, struck: str, seconds: float) -> None:
        self.inject_fault(fault, struck)
        self.group.advance(seconds)

    def inject_fault(self, fault: str, struck: str) -> None:
        """Cause a fault at holders of the last key in the epoch with most members."""
        group = self.group
        known = (e.state.current for e in group.entries.values())
        epoch = max(known, key=lambda e: len(e.members), default=Epoch())
        found = find_holders(epoch, self.keys[-1])
        names = [m.name for m in found or () if m] or sorted(group.layout)[:2]
        if struck == "others":
            names = sorted(set(group.layout) - set(names))
        elif struck != "both":
            names = names[:1] if struck == "owner" else names[-1:]
        for name in names:
            if fault == "lose":
                group.entries.pop(name, None)
            elif fault == "restart":
                group.start(name)
            elif fault == "freeze" and name in group.entries:
                group.entries[name].frozen = True
        if fault == "cut":
            others = set(group.layout) - set(names)
            group.cut_links |= {frozenset((a, b)) for a in names for b in others}

    @rule(reaction=REACTIONS)
    def upstream(self, reaction: str) -> None:
        self.group.handle_oldest_request(reaction)
        self.group.deliver()

    @rule(seconds=PAUSES)
    def advance(self, seconds: float) -> None:
        self.group.advance(seconds)

    @rule(seconds=REPAIR_SECONDS, restart=st.sampled_from([True, True, False]))
    def repair(self, seconds: float, restart: bool) -> None:
        group = self.group
        group.cut_links.clear()
        for name in group.layout:
            if name in group.entries:
                group.entries[name].frozen = False
            elif restart:
                group.start(name)
        group.deliver()
        group.advance(seconds)

    @invariant()
    def work_runs_at_most_once(self) -> None:
        group = getattr(self, "group", None)
        doubled = {k: n for k, n in group.run_counts.items() if n > 1} if group else {}
        assert not doubled, f"keys run more than once: {doubled}"

    @invariant()
    def an_answered_key_keeps_its_answer(self) -> None:
        for key in getattr(self, "keys", []):
            outcomes = [o for _, o in self.group.outcomes[key.text]]
            answers = {o.answer.body for o in outcomes if isinstance(o, Answered)}
            assert len(answers) <= 1, f"{key.text} had answers {answers}"
            first = next((o for o in outcomes if isinstance(o, Answered)), None)
            later = outcomes[outcomes.index(first) + 1 :] if first else []
            refused = [o for o in later if isinstance(o, NotRun)]
            assert not refused, f"{key.text} was answered, then {refused}"

    @invariant()
    def not_run_is_true(self) -> None:
        for key in getattr(self, "keys", []):
            for attempt, outcome in self.group.outcomes[key.text]:
                if isinstance(outcome, NotRun) and attempt == self.attempts[key.text]:
                    runs = self.group.run_counts[key.text]
                    assert not runs, f"{key.text} ran in spite of {outcome}"


TestOwnership = OwnershipMachine.TestCase
