"""One attempt of a request: a flow as callers of the platform send it.

A caller retransmits a packet that is not acknowledged within 200 ms, with a timeout
that doubles up to 1.6 s. When a retransmission is acknowledged, it sends the rest of
its window again. Three duplicate acknowledgements make it retransmit immediately.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from chervilstage.state.flow_packets import SEQUENCE_SPACE, FlowPacket
from chervilstage.state.packet_decisions import Forward
from chervilstage.state.types import Address
from testing.support.timeline import Action, Timeline
from testing.support.token_relays import make_packet

from .entries import SimulatedEntry

DATA_BYTES = 1_200
WINDOW_PACKETS = 16
PACKETS_PER_ACKNOWLEDGEMENT = 2
DUPLICATE_ACKNOWLEDGEMENTS = 3
# Delays of the opening packet and its copies.
COPY_DELAYS_SECONDS = (0.0, 0.2, 0.6)
OPENING_TIMEOUT_SECONDS = 1.4
FIRST_RETRANSMIT_SECONDS = 0.2
MAX_RETRANSMIT_SECONDS = 1.6
# Delay between a caller and the VMs of a data centre, and its jitter.
PATH_DELAY_SECONDS = 0.003
MAX_JITTER_SECONDS = 0.001
SERVICE_TIME_SECONDS = 0.005


class Receiver:
    """The upstream's end of a flow: the data received, and what it has acknowledged."""

    def __init__(self, *, packet_count: int) -> None:
        self.packet_count = packet_count
        self.next_expected = 0
        self.out_of_order: set[int] = set()
        self.unacknowledged_packets = 0

    def receive(self, number: int) -> bool:
        """Receive a data packet and return whether it is acknowledged immediately."""
        is_next = number == self.next_expected
        if number >= self.next_expected:
            self.out_of_order.add(number)
        while self.next_expected in self.out_of_order:
            self.out_of_order.remove(self.next_expected)
            self.next_expected += 1
        self.unacknowledged_packets += 1
        is_due = self.unacknowledged_packets >= PACKETS_PER_ACKNOWLEDGEMENT
        if (
            is_due
            or not is_next
            or self.out_of_order
            or self.next_expected == self.packet_count
        ):
            self.unacknowledged_packets = 0
            return True
        return False


class Attempt:
    """The caller's end of a flow that sends one request.

    :param caller: the address of the caller, unique in a run.
    :param size: the bytes of the request.
    :param on_finished: called once, with whether the request was answered.
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
        on_finished: Callable[[bool], None],
    ) -> None:
        self.timeline = timeline
        self.rng = rng
        self.entry = entry
        self.caller = caller
        self.front = front
        self.size = size
        self.on_finished = on_finished
        self.initial_sequence = rng.getrandbits(32)
        self.packet_count = -(-size // DATA_BYTES)
        self.receiver = Receiver(packet_count=self.packet_count)
        self.token = 0
        self.is_open = False
        self.is_done = False
        self.acknowledged = 0
        self.next_packet = 0
        self.duplicate_acknowledgements = 0
        self.has_retransmitted = False
        self.retransmit_seconds = FIRST_RETRANSMIT_SECONDS
        self.timer_generation = 0

    def start(self) -> None:
        """Send the opening packet and its copies."""
        for copy, seconds in enumerate(COPY_DELAYS_SECONDS):
            self.timeline.call_later(seconds, lambda copy=copy: self.send_opening(copy))
        self.timeline.call_later(OPENING_TIMEOUT_SECONDS, self.time_out_opening)

    def send_opening(self, copy: int) -> None:
        """Send a copy of the opening packet, unless a copy was answered."""
        if not self.is_open and not self.is_done:
            packet = make_packet(
                self.caller,
                front=self.front,
                is_opening=True,
                sequence=self.initial_sequence,
                acknowledged=copy,
                copy=copy,
            )
            self.send(packet, self.answer_opening)

    def time_out_opening(self) -> None:
        """End an attempt whose opening packet no upstream has answered."""
        if not self.is_open:
            self.finish(False)

    def finish(self, is_answered: bool) -> None:
        """End the attempt and report whether it was answered."""
        if not self.is_done:
            self.is_done = True
            self.on_finished(is_answered)

    def send(self, packet: FlowPacket, on_delivered: Callable[[Forward], None]) -> None:
        """Send a packet through the entry."""
        seconds = PATH_DELAY_SECONDS + self.rng.random() * MAX_JITTER_SECONDS
        self.timeline.call_later(
            seconds, lambda: self.entry.receive(packet, on_delivered, self.handle_reset)
        )

    def handle_reset(self) -> None:
        """End the attempt once a reset by the entry has reached the caller."""
        self.timeline.call_later(PATH_DELAY_SECONDS, lambda: self.finish(False))

    def deliver_reply(self, action: Action) -> None:
        """Deliver an answer of the upstream to the caller."""
        self.timeline.call_later(
            PATH_DELAY_SECONDS, lambda: None if self.is_done else action()
        )

    def answer_opening(self, decision: Forward) -> None:
        """Answer the opening packet as the upstream, with the token it received."""
        self.deliver_reply(lambda: self.handle_opening_answer(decision))

    def handle_opening_answer(self, decision: Forward) -> None:
        """Start to send data after the first answer of an upstream."""
        if not self.is_open:
            self.is_open = True
            self.token = decision.token or 0
            self.fill_window()

    def fill_window(self) -> None:
        """Send the packets that fit into the window."""
        limit = min(self.packet_count, self.acknowledged + WINDOW_PACKETS)
        for number in range(self.next_packet, limit):
            self.send_data(number)
        self.next_packet = max(self.next_packet, limit)
        self.restart_timer()

    def send_data(self, number: int) -> None:
        """Send a packet of the request."""
        offset = number * DATA_BYTES
        packet = make_packet(
            self.caller,
            front=self.front,
            sequence=(self.initial_sequence + 1 + offset) % SEQUENCE_SPACE,
            size=min(DATA_BYTES, self.size - offset),
            token=self.token,
        )
        self.send(packet, lambda decision: self.receive(number, decision))

    def receive(self, number: int, decision: Forward) -> None:
        """Receive data as the upstream, acknowledge it, answer a complete request."""
        is_due = self.receiver.receive(number)
        next_expected = self.receiver.next_expected
        token = self.token if decision.token is None else decision.token
        if is_due:
            self.deliver_reply(
                lambda: self.handle_acknowledgement(next_expected, token)
            )
        if next_expected == self.packet_count:
            self.timeline.call_later(
                SERVICE_TIME_SECONDS, lambda: self.deliver_reply(self.handle_answer)
            )

    def handle_answer(self) -> None:
        """Close the flow of an answered request."""
        end_sequence = (self.initial_sequence + 1 + self.size) % SEQUENCE_SPACE
        packet = make_packet(
            self.caller,
            front=self.front,
            is_ending=True,
            sequence=end_sequence,
            acknowledged=1,
            token=self.token,
        )
        self.send(packet, lambda decision: None)
        self.finish(True)

    def handle_acknowledgement(self, next_expected: int, token: int) -> None:
        """Advance the window, and retransmit the packet that the upstream lacks."""
        self.token = token
        if next_expected > self.acknowledged:
            self.acknowledged = next_expected
            self.duplicate_acknowledgements = 0
            self.retransmit_seconds = FIRST_RETRANSMIT_SECONDS
            if self.has_retransmitted:
                self.has_retransmitted = False
                self.retransmit_window()
            self.fill_window()
        elif next_expected < self.packet_count:
            self.duplicate_acknowledgements += 1
            if self.duplicate_acknowledgements == DUPLICATE_ACKNOWLEDGEMENTS:
                self.send_data(next_expected)

    def retransmit_window(self) -> None:
        """Retransmit all unacknowledged packets of the window."""
        for number in range(self.acknowledged, self.next_packet):
            self.send_data(number)

    def restart_timer(self) -> None:
        """Restart the retransmission timer."""
        self.timer_generation += 1
        generation = self.timer_generation
        self.timeline.call_later(
            self.retransmit_seconds, lambda: self.handle_timeout(generation)
        )

    def handle_timeout(self, generation: int) -> None:
        """Retransmit the first unacknowledged packet if the timer is the newest."""
        is_over = self.is_done or generation != self.timer_generation
        if is_over or self.acknowledged == self.packet_count:
            return
        self.has_retransmitted = True
        self.retransmit_seconds = min(
            2 * self.retransmit_seconds, MAX_RETRANSMIT_SECONDS
        )
        self.send_data(self.acknowledged)
        self.restart_timer()
