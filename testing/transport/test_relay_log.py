"""Log lines of the flow relay."""

from __future__ import annotations

import logging

from testtools import TestCase
from testtools.matchers import Contains, Equals, HasLength

from chervilstage.coordination.flow_tokens import flow_token
from chervilstage.coordination.token_relay import relay_packet
from chervilstage.state.counters import Counters
from chervilstage.state.packet_decisions import Forward, ResetFlow
from chervilstage.state.types import Address
from chervilstage.transport.log_budget import BURST_LINES
from chervilstage.transport.loop_lateness import WINDOW_SECONDS, LoopLateness
from chervilstage.transport.relay_log import RelayLog
from testing.support.token_relays import (
    CALLER_HOST,
    RelayDriver,
    make_packet,
    make_record,
)

CALLER = Address(host=CALLER_HOST, port=40_001)


class LinesTestCase(TestCase):
    """Collects the log lines of a test."""

    def setUp(self) -> None:
        super().setUp()
        self.lines: list[dict[str, object]] = []
        handler = logging.Handler()
        handler.emit = lambda record: self.lines.append(record.msg)  # type: ignore
        logger = logging.getLogger("chervilstage")
        logger.addHandler(handler)
        self.addCleanup(logger.removeHandler, handler)
        level = logger.level
        logger.setLevel(logging.INFO)
        self.addCleanup(logger.setLevel, level)


class ClosedFlowLogTests(LinesTestCase):
    """Guards against a closed flow whose cause the log does not show."""

    def test_lines_of_new_flows_do_not_suppress_the_line_of_a_closed_flow(self) -> None:
        relay = RelayDriver(records=[make_record(1)])
        log = RelayLog(counters=Counters())
        opening = make_packet(CALLER, is_opening=True)
        for _ in range(int(BURST_LINES) + 1):
            decision = relay_packet(relay.state, opening, relay.now, relay.rng)
            log.log_decision(relay.state, opening, decision, relay.now)
        opened = relay.open_flow(40_001)
        relay.apply_records(make_record(1, incarnation=2)._replace(label=9))
        relay.now += 0.5
        packet = make_packet(CALLER, token=opened.token or 0)
        decision = relay_packet(relay.state, packet, relay.now, relay.rng)
        self.assertThat(isinstance(decision, ResetFlow), Equals(True))
        log.log_decision(relay.state, packet, decision, relay.now)
        closed = [line for line in self.lines if line["event"] == "flow_closed"]
        self.assertThat(closed, HasLength(1))
        line = closed[0]
        self.assertThat(line["reason"], Equals("upstream_ended"))
        self.assertThat(line["packet_token"], Equals(line["held_token"]))
        self.assertThat(line["held_token"], Equals(line["packet_token"]))
        self.assertThat((line["incarnation"], line["current"]), Equals((1, 2)))
        for name in ("quiet_ms", "heard_ms_ago", "answered_ms_ago", "loop_late_ms"):
            self.assertThat(line, Contains(name))

    def test_the_line_of_a_closed_flow_shows_its_idle_time(self) -> None:
        """Guards against logging the gap before an earlier packet instead."""
        relay = RelayDriver(records=[make_record(1)])
        log = RelayLog(counters=Counters())
        opened = relay.open_flow(40_001)
        relay.apply_records(make_record(1), gone=True)
        relay.now += 5.0
        packet = make_packet(CALLER, token=opened.token or 0)
        decision = relay_packet(relay.state, packet, relay.now, relay.rng)
        log.log_decision(relay.state, packet, decision, relay.now)
        closed = [line for line in self.lines if line["event"] == "flow_closed"]
        self.assertThat([line["quiet_ms"] for line in closed], Equals([5_000]))

    def test_a_flow_that_moves_from_another_entry_is_logged(self) -> None:
        """Guards against packets at a wrong upstream that the log does not explain."""
        relay = RelayDriver(records=[make_record(1), make_record(2)])
        log = RelayLog(counters=Counters())
        for label in (1, 2):
            packet = make_packet(CALLER, token=flow_token(make_record(label).identity))
            decision = relay_packet(relay.state, packet, relay.now, relay.rng)
            assert isinstance(decision, Forward)
            log.log_move(relay.state, packet, decision, relay.now)
        found, replaced = self.lines
        self.assertThat(found["event"], Equals("flow_found"))
        self.assertThat(found["upstream"], Equals("10.0.0.1:8080"))
        self.assertThat(found["held_token"], Equals(found["packet_token"]))
        self.assertThat(replaced["event"], Equals("flow_token_replaced"))
        self.assertThat(replaced["upstream"], Equals("10.0.0.1:8080"))
        self.assertThat(replaced["packet_upstream"], Equals("10.0.0.2:8080"))


class LinkLoadLogTests(LinesTestCase):
    """Guards against a full link that delays callers without showing in the log."""

    def test_the_line_shows_repeated_data_and_the_backlog_of_the_link(self) -> None:
        relay = RelayDriver(records=[make_record(1)])
        link = relay.state.link
        token = relay.open_flow(40_001).token or 0
        link.pop_traffic()
        link.bytes_per_second = 500_000.0
        for sequence in (1, 1_201, 1):
            relay.send(40_001, token=token, sequence=sequence, size=1_200)
        log = RelayLog(counters=Counters())
        log.log_link_load(relay.state, link.pop_traffic(), 5.0)
        (line,) = self.lines
        self.assertThat(line["event"], Equals("link_load"))
        self.assertThat((line["packets"], line["bytes"]), Equals((3, 3_915)))
        self.assertThat(line["ahead_ms"], Equals(8))
        self.assertThat(
            (line["data_packets"], line["repeated_packets"]), Equals((3, 1))
        )
        self.assertThat(link.pop_traffic().packets, Equals(0))

    def test_a_link_of_unknown_rate_is_not_reported_as_full(self) -> None:
        relay = RelayDriver(records=[])
        relay.state.link.record_sent(1_239, relay.now)
        traffic = relay.state.link.pop_traffic()
        RelayLog(counters=Counters()).log_link_load(relay.state, traffic, 5.0)
        (line,) = self.lines
        self.assertThat((line["utilisation"], line["ahead_ms"]), Equals((0.0, 0)))


class LoopLatenessTests(TestCase):
    """Guards against loop pauses that are not reported, or are reported forever."""

    def test_the_worst_delay_is_reported_until_it_expires(self) -> None:
        lateness = LoopLateness()
        lateness.record_delay(10.0, 11.5)
        lateness.record_delay(11.7, 11.8)
        self.assertThat(lateness.max_delay(12.0), Equals(1.5))
        self.assertThat(lateness.max_delay(11.5 + WINDOW_SECONDS + 0.1), Equals(0.0))
