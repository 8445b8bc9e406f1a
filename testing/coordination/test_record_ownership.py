"""Ownership of request records under losses, freezes and cuts."""

from __future__ import annotations

from collections import Counter

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from chervilstage.state.outcomes import Answered, NotRun
from chervilstage.state.request_records import RequestKey
from testing.support.request_fakes import World

LAYOUT = {"a1": "gl-erie", "a2": "gl-erie", "b1": "gl-huron", "b2": "gl-huron"}
WIDE = {**LAYOUT, "a3": "gl-erie"}
ENTRIES = st.integers(0, 4)
FATES = st.sampled_from(["run", "run", "run", "refuse", "lose answer", ""])
PAUSES = st.sampled_from([0.0, 0.5, 1.5, 3.0, 6.0])
SIDES = st.sampled_from([("a1",), ("a1", "a2"), ("a1", "b1"), ("b2",), ("a2", "a3")])


class OwnershipMachine(RuleBasedStateMachine):
    """Guards against second runs, changed answers and false refusals."""

    @initialize(seed=st.integers(0, 2**32), layout=st.sampled_from([LAYOUT, WIDE]))
    def begin(self, seed: int, layout: dict[str, str]) -> None:
        self.world = World(layout=layout, seed=seed)
        self.keys: list[RequestKey] = []
        self.attempts: Counter[str] = Counter()
        self.world.advance(6.0)

    @rule(
        home=st.sampled_from(["gl-erie", "gl-huron"]),
        entry=ENTRIES,
        fate=FATES,
        ahead_ms=st.sampled_from([0, 0, 1900]),
    )
    def first_attempt(self, home: str, entry: int, fate: str, ahead_ms: int) -> None:
        stamp_ms = self.world.now_ms() + ahead_ms
        text = f"v1.{stamp_ms}.{home}.{len(self.keys)}"
        self.keys.append(RequestKey(text=text, stamp_ms=stamp_ms, home=home))
        self.ask(self.keys[-1], entry, fate)

    @rule(position=st.integers(0, 3), entry=ENTRIES, fate=FATES)
    def retry(self, position: int, entry: int, fate: str) -> None:
        if self.keys:
            key = self.keys[-1 - position % len(self.keys)]
            pending = self.world.asks.get(key.text)
            if pending and self.world.now < pending.expires:
                self.world.advance(pending.expires - self.world.now)
            self.ask(key, entry, fate)

    def ask(self, key: RequestKey, entry: int, fate: str) -> None:
        self.attempts[key.text] += 1
        self.world.ask(key, self.attempts[key.text], self.name(entry))
        self.world.deliver()
        if fate:
            self.world.upstream(fate)
            self.world.deliver()

    def name(self, position: int) -> str:
        names = sorted(self.world.layout)
        return names[position % len(names)]

    @rule(fate=FATES)
    def upstream(self, fate: str) -> None:
        self.world.upstream(fate)
        self.world.deliver()

    @rule(seconds=PAUSES)
    def advance(self, seconds: float) -> None:
        self.world.advance(seconds)

    @rule(entry=ENTRIES, seconds=PAUSES)
    def lose(self, entry: int, seconds: float) -> None:
        self.world.entries.pop(self.name(entry), None)
        self.world.advance(seconds)

    @rule(entry=ENTRIES, seconds=PAUSES)
    def restart(self, entry: int, seconds: float) -> None:
        self.world.start(self.name(entry))
        self.world.advance(seconds)

    @rule(first=ENTRIES, second=ENTRIES, seconds=PAUSES)
    def freeze(self, first: int, second: int, seconds: float) -> None:
        for position in (first, second):
            if entry := self.world.entries.get(self.name(position)):
                entry.frozen = True
        self.world.advance(seconds)

    @rule(entry=ENTRIES)
    def resume(self, entry: int) -> None:
        if frozen := self.world.entries.get(self.name(entry)):
            frozen.frozen = False
            self.world.deliver()

    @rule(entry=ENTRIES)
    def give_up_copies(self, entry: int) -> None:
        if (found := self.world.entries.get(self.name(entry))) and not found.frozen:
            self.world.give_up_copies(found)

    @rule(side=SIDES, seconds=PAUSES)
    def cut(self, side: tuple[str, ...], seconds: float) -> None:
        rest = set(self.world.layout) - set(side)
        self.world.cut |= {frozenset((a, b)) for a in side for b in rest}
        self.world.advance(seconds)

    @rule(seconds=PAUSES)
    def repair_all(self, seconds: float) -> None:
        self.world.cut.clear()
        for name in self.world.layout:
            if name in self.world.entries:
                self.world.entries[name].frozen = False
            else:
                self.world.start(name)
        self.world.advance(seconds)

    @invariant()
    def work_runs_at_most_once(self) -> None:
        world = getattr(self, "world", None)
        doubled = {k: n for k, n in world.runs.items() if n > 1} if world else {}
        assert not doubled, f"keys run more than once: {doubled}"

    @invariant()
    def an_answered_key_keeps_its_answer(self) -> None:
        for key in getattr(self, "keys", []):
            outcomes = [o for _, o in self.world.outcomes[key.text]]
            answers = {o.answer.body for o in outcomes if isinstance(o, Answered)}
            assert len(answers) <= 1, f"{key.text} had answers {answers}"
            first = next((o for o in outcomes if isinstance(o, Answered)), None)
            later = outcomes[outcomes.index(first) + 1 :] if first else []
            refused = [o for o in later if isinstance(o, NotRun)]
            assert not refused, f"{key.text} was answered, then {refused}"

    @invariant()
    def not_run_is_true(self) -> None:
        for key in getattr(self, "keys", []):
            for attempt, outcome in self.world.outcomes[key.text]:
                if isinstance(outcome, NotRun) and attempt == self.attempts[key.text]:
                    runs = self.world.runs[key.text]
                    assert not runs, f"{key.text} ran but {outcome} was said"


TestOwnership = OwnershipMachine.TestCase
