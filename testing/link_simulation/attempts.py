"""One try of a request: a flow as callers of the platform send it.

A caller repeats what is not acknowledged for 200 ms, with the time doubling up to
1.6 s; when the acknowledgement of a repeat comes, it sends the rest of its window once
more. Three equal acknowledgements make it repeat at once.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from chervilstage.state.flow_packets import NUMBER_SPACE, FlowPacket
from chervilstage.state.packet_decisions import Forward
from chervilstage.state.types import Address
from testing.support.timeline import Action, Timeline
from testing.support.token_relays import make_packet

from .entries import SimulatedEntry

DATA_BYTES = 1_200
WINDOW_PACKETS = 16
ACKNOWLEDGED_PACKETS = 2
EQUAL_ACKNOWLEDGEMENTS = 3
COPY_SECONDS = (0.0, 0.2, 0.6)
GIVE_UP_SECONDS = 1.4
FIRST_REPEAT_SECONDS = 0.2
LONGEST_REPEAT_SECONDS = 1.6
# The way between a caller and the VMs of a data centre, and how much packets spread.
PATH_SECONDS = 0.003
SPREAD_SECONDS = 0.001
WORK_SECONDS = 0.005


class Receiver:
    """The upstream's end of a flow: which data it has, and what it has acknowledged."""

    def __init__(self, *, packets: int) -> None:
        self.packets = packets
        self.missing = 0
        self.later: set[int] = set()
        self.unacknowledged = 0

    def take(self, number: int) -> bool:
        """Take a packet of data and tell whether it is acknowledged at once."""
        is_next = number == self.missing
        if number >= self.missing:
            self.later.add(number)
        while self.missing in self.later:
            self.later.remove(self.missing)
            self.missing += 1
        self.unacknowledged += 1
        is_due = self.unacknowledged >= ACKNOWLEDGED_PACKETS
        if is_due or not is_next or self.later or self.missing == self.packets:
            self.unacknowledged = 0
            return True
        return False


class Attempt:
    """The caller's end of a flow that sends one request.

    :param port: the caller's port, unique in a play.
    :param size: the bytes of the request.
    :param finish: called once, with whether the request was answered.
    """

    def __init__(
        self,
        *,
        timeline: Timeline,
        rng: Random,
        entry: SimulatedEntry,
        caller: Address,
        front: Address,
        size: int,
        finish: Callable[[bool], None],
    ) -> None:
        self.timeline = timeline
        self.rng = rng
        self.entry = entry
        self.caller = caller
        self.front = front
        self.size = size
        self.finish = finish
        self.opening = rng.getrandbits(32)
        self.packets = -(-size // DATA_BYTES)
        self.receiver = Receiver(packets=self.packets)
        self.token = 0
        self.is_open = False
        self.is_done = False
        self.acknowledged = 0
        self.next = 0
        self.equal = 0
        self.has_repeated = False
        self.patience = FIRST_REPEAT_SECONDS
        self.timer = 0

    def start(self) -> None:
        """Send the opening packet and its copies."""
        for copy, seconds in enumerate(COPY_SECONDS):
            self.timeline.after(seconds, lambda copy=copy: self.open(copy))
        self.timeline.after(GIVE_UP_SECONDS, self.give_up_opening)

    def open(self, copy: int) -> None:
        """Send a copy of the opening packet unless one was answered."""
        if not self.is_open and not self.is_done:
            packet = make_packet(
                self.caller,
                front=self.front,
                is_opening=True,
                sequence=self.opening,
                acknowledged=copy,
                copy=copy,
            )
            self.send(packet, self.answer_opening)

    def give_up_opening(self) -> None:
        """End a try that no upstream has answered."""
        if not self.is_open:
            self.end(False)

    def end(self, is_answered: bool) -> None:
        """End the try and tell how."""
        if not self.is_done:
            self.is_done = True
            self.finish(is_answered)

    def send(self, packet: FlowPacket, arrive: Callable[[Forward], None]) -> None:
        """Send a packet through the entry."""
        seconds = PATH_SECONDS + self.rng.random() * SPREAD_SECONDS
        self.timeline.after(
            seconds, lambda: self.entry.take(packet, arrive, self.refuse)
        )

    def refuse(self) -> None:
        """Take a reset of the entry."""
        self.timeline.after(PATH_SECONDS, lambda: self.end(False))

    def reply(self, act: Action) -> None:
        """Let an answer of the upstream come to the caller."""
        self.timeline.after(PATH_SECONDS, lambda: None if self.is_done else act())

    def answer_opening(self, decision: Forward) -> None:
        """Let the upstream answer the opening packet with the token that it got."""
        self.reply(lambda: self.take_opening(decision))

    def take_opening(self, decision: Forward) -> None:
        """Begin to send data once an upstream has answered."""
        if not self.is_open:
            self.is_open = True
            self.token = decision.token or 0
            self.fill_window()

    def fill_window(self) -> None:
        """Send what the window has room for."""
        limit = min(self.packets, self.acknowledged + WINDOW_PACKETS)
        for number in range(self.next, limit):
            self.send_data(number)
        self.next = max(self.next, limit)
        self.watch()

    def send_data(self, number: int) -> None:
        """Send a packet of the request."""
        offset = number * DATA_BYTES
        packet = make_packet(
            self.caller,
            front=self.front,
            sequence=(self.opening + 1 + offset) % NUMBER_SPACE,
            size=min(DATA_BYTES, self.size - offset),
            token=self.token,
        )
        self.send(packet, lambda decision: self.receive(number, decision))

    def receive(self, number: int, decision: Forward) -> None:
        """Let the upstream take data, acknowledge it and answer a whole request."""
        is_due = self.receiver.take(number)
        missing = self.receiver.missing
        token = self.token if decision.token is None else decision.token
        if is_due:
            self.reply(lambda: self.take_acknowledgement(missing, token))
        if missing == self.packets:
            self.timeline.after(WORK_SECONDS, lambda: self.reply(self.take_answer))

    def take_answer(self) -> None:
        """Close the flow of an answered request."""
        end = (self.opening + 1 + self.size) % NUMBER_SPACE
        packet = make_packet(
            self.caller,
            front=self.front,
            is_ending=True,
            sequence=end,
            acknowledged=1,
            token=self.token,
        )
        self.send(packet, lambda decision: None)
        self.end(True)

    def take_acknowledgement(self, missing: int, token: int) -> None:
        """Go on behind what the upstream has, and repeat what it lacks."""
        self.token = token
        if missing > self.acknowledged:
            self.acknowledged = missing
            self.equal = 0
            self.patience = FIRST_REPEAT_SECONDS
            if self.has_repeated:
                self.has_repeated = False
                self.repeat_window()
            self.fill_window()
        elif missing < self.packets:
            self.equal += 1
            if self.equal == EQUAL_ACKNOWLEDGEMENTS:
                self.send_data(missing)

    def repeat_window(self) -> None:
        """Send all again that is under way."""
        for number in range(self.acknowledged, self.next):
            self.send_data(number)

    def watch(self) -> None:
        """Wait for an acknowledgement from now on."""
        self.timer += 1
        timer = self.timer
        self.timeline.after(self.patience, lambda: self.time_out(timer))

    def time_out(self, timer: int) -> None:
        """Repeat the first packet that is not acknowledged."""
        is_over = self.is_done or timer != self.timer
        if is_over or self.acknowledged == self.packets:
            return
        self.has_repeated = True
        self.patience = min(2 * self.patience, LONGEST_REPEAT_SECONDS)
        self.send_data(self.acknowledged)
        self.watch()
