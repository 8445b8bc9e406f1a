"""Encodings on the path of packets and between entries."""

from __future__ import annotations

from hypothesis import given, strategies as st
from testtools import TestCase
from testtools.matchers import Equals

from chervilstage.errors.access import EnvelopeFormatError
from chervilstage.protocol.flow_messages import (
    KINDS,
    decode_flow_message,
    encode_flow_message,
)
from chervilstage.protocol.membership_messages import (
    decode_heartbeat,
    encode_heartbeat,
)
from chervilstage.protocol.proxy_header import (
    PREFIX_BYTES,
    encode_header,
    extract_packed_caller,
    header_writer,
    pack_address,
    unpack_address,
)
from chervilstage.state.flow_messages import PinItem, PinListPage, PinQuery
from chervilstage.state.members import Heartbeat, MemberReport
from chervilstage.state.types import Address, UpstreamId
from chervilstage.state.view import ViewId

ADDRESSES = st.builds(
    lambda octets, port: Address(host=".".join(map(str, octets)), port=port),
    st.tuples(*[st.integers(0, 255)] * 4),
    st.integers(0, 65_535),
)
UPSTREAM = UpstreamId(
    address=Address(host="10.0.0.1", port=9), incarnation=7, service="alley-desk"
)
PIN_ITEMS = st.lists(
    st.builds(
        PinItem,
        key=st.integers(0, 2**50 - 1),
        upstream=st.just(UPSTREAM),
        number=st.integers(0, 2**31),
        pinned=st.booleans(),
    ),
    max_size=20,
    unique_by=lambda item: item.key,
).map(lambda items: tuple(sorted(items)))


class EncodingTests(TestCase):
    """Guards against encoded headers and messages that do not match their values."""

    @given(ADDRESSES, ADDRESSES)
    def test_header_from_packed_addresses_equals_that_of_the_library(
        self, caller: Address, front_end: Address
    ) -> None:
        packed = pack_address(*caller)
        header = header_writer(front_end)(packed)
        self.assertThat(header, Equals(encode_header(caller, front_end)))
        prefix = header[:PREFIX_BYTES]
        self.assertThat(extract_packed_caller(header + b"x", prefix), Equals(packed))
        self.assertThat(unpack_address(packed), Equals(tuple(caller)))

    @given(PIN_ITEMS)
    def test_pin_messages_round_trip(self, items: tuple[PinItem, ...]) -> None:
        query = PinQuery(query=3, service="alley-desk", items=items, adopt=True)
        page = PinListPage(
            view=ViewId(number=4, coordinator="e1"),
            service="alley-desk",
            early=True,
            complete_buckets=(3, 4, 5, 1, 2),
            known_peers=("e2",),
            partial_bucket=-1,
            after_key=0,
            items=items,
        )
        for message in (query, page):
            data = encode_flow_message(message)
            decoded = decode_flow_message(KINDS[type(message)], data)
            ordered = decoded._replace(items=tuple(sorted(decoded.items)))  # type: ignore[union-attr,call-arg,arg-type]
            self.assertThat(ordered, Equals(message))

    @given(st.integers(0, 2**32 - 1), st.text(max_size=12))
    def test_heartbeat_round_trip_preserves_the_newest_view(
        self, number: int, name: str
    ) -> None:
        report = MemberReport(
            incarnation=5, newest_view=ViewId(number=number, coordinator=name)
        )
        heartbeat = Heartbeat(sent_at=1.5, echo=0.5, report=report)
        decoded = decode_heartbeat(encode_heartbeat(heartbeat))
        self.assertThat(decoded, Equals(heartbeat))

    @given(st.binary(max_size=60), st.sampled_from(sorted(KINDS.values())))
    def test_arbitrary_bytes_raise_only_a_typed_error(
        self, data: bytes, kind: int
    ) -> None:
        chosen = next(k for k in KINDS.values() if k == kind)
        try:
            decode_flow_message(chosen, data)
        except EnvelopeFormatError:
            return
