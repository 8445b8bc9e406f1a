"""Packets, plans, marks and reports of the load tool."""

from __future__ import annotations

from pathlib import Path
from tempfile import TemporaryDirectory

from hypothesis import given, strategies as st
from testtools import TestCase
from testtools.matchers import Equals, MatchesException, Raises

from chervilstage.errors.load import LoadAddressError, LoadBoundError, LoadPacketError
from chervilstage.errors.settings import DocumentError
from chervilstage.protocol.load_packets import (
    decode_answer,
    decode_packet,
    encode_answer,
    encode_packet,
    encode_update,
)
from chervilstage.protocol.load_plan import format_mark, parse_plan, read_marks
from chervilstage.state.load_packets import (
    CallerPacket,
    FeedUpdate,
    PacketAnswer,
    UpstreamName,
)
from chervilstage.state.load_plan import Mark

UPSTREAM = UpstreamName(
    service="alley-desk", address="127.0.0.1:1", incarnation=7, data_centre="gl-erie"
)
SOURCE = Path("plan.toml")
ENTRY = {"host": "127.0.0.1", "data_centre": "gl-erie"}
FLOW = {"service": "a", "port": 1, "callers": 1, "packets_per_second": 1.0}
PLAN: dict[str, object] = {"seed": 1, "seconds": 1.0, "entries": [ENTRY]}
PACKETS = st.builds(
    CallerPacket,
    service=st.just("alley-desk"),
    flow=st.from_regex(r"\Af[0-9]-[0-9]{1,4}\Z"),
    sequence=st.integers(0, 10**9),
    subscribe=st.booleans(),
    body=st.binary(max_size=80),
)


class PacketTests(TestCase):
    """Guards against damaged packets that are accepted as intact."""

    @given(PACKETS, st.data())
    def test_answer_round_trip_and_detection_of_any_damage(
        self, packet: CallerPacket, data: st.DataObject
    ) -> None:
        encoded = encode_answer(UPSTREAM, encode_packet(packet))
        expected = PacketAnswer(upstream=UPSTREAM, packet=packet)
        self.assertThat(decode_answer(encoded), Equals(expected))
        position = data.draw(st.integers(0, len(encoded) - 1))
        flipped = encoded[position] ^ data.draw(st.integers(1, 255))
        damaged = encoded[:position] + bytes([flipped]) + encoded[position + 1 :]
        for corrupted in (damaged, encoded[:position]):
            rejects = Raises(MatchesException(LoadPacketError))
            self.assertThat(
                lambda corrupted=corrupted: decode_answer(corrupted), rejects
            )

    @given(st.binary(max_size=60))
    def test_arbitrary_bytes_raise_a_typed_error(self, data: bytes) -> None:
        rejects = Raises(MatchesException(LoadPacketError))
        self.assertThat(lambda: decode_packet(data), rejects)

    def test_update_round_trip(self) -> None:
        update = FeedUpdate(upstream=UPSTREAM, feed="f1", number=3)
        self.assertThat(decode_answer(encode_update(update)), Equals(update))


class PlanTests(TestCase):
    """Guards against load that exceeds the limits or is sent to other machines."""

    def test_invalid_plans_are_rejected_with_key_and_reason(self) -> None:
        outside = {**ENTRY, "host": "10.0.0.1"}
        fast = {**FLOW, "packets_per_second": 1e6}
        for change, error, text in (
            ({"entries": [ENTRY, outside]}, LoadAddressError, "entries.1.host"),
            ({"caller_host": "128.0.0.1"}, LoadAddressError, "caller_host"),
            ({"caller_host": "127.0.0.999"}, LoadAddressError, "caller_host"),
            ({"flows": [fast]}, LoadBoundError, "flows.packets_per_second"),
            ({"flows": [{**FLOW, "callers": 9999}]}, LoadBoundError, "callers"),
            ({"seconds": 1e6}, DocumentError, "seconds"),
            ({"seconds": "ten"}, DocumentError, "seconds"),
            ({"entries": []}, DocumentError, "entries"),
            ({"colour": 1}, DocumentError, "colour"),
        ):
            matcher = Raises(MatchesException(error, f".*plan.toml: .*{text}"))
            document = {**PLAN, **change}
            self.assertThat(lambda d=document: parse_plan(d, SOURCE), matcher)

    def test_marks_round_trip_and_an_invalid_line_is_rejected(self) -> None:
        folder = TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = Path(folder.name) / "marks"
        self.assertThat(read_marks(path), Equals([]))
        marks = [Mark(at=1.5, word="out", name="gl-erie"), Mark(at=2.0, word="x")]
        path.write_text("".join(format_mark(mark) for mark in reversed(marks)))
        self.assertThat(read_marks(path), Equals(marks))
        path.write_text("soon out gl-erie\n")
        rejects = Raises(MatchesException(DocumentError, ".*line 1"))
        self.assertThat(lambda: read_marks(path), rejects)
