"""Application of the feed answers of control replicas by an entry."""

from __future__ import annotations

from random import Random

from chervilstage.coordination.token_relay import relay_packet
from chervilstage.state.configuration import RoutingDocument
from chervilstage.state.counters import Counters
from chervilstage.state.packet_decisions import ResetFlow
from chervilstage.state.types import Address, Peer
from chervilstage.state.upstream_feed import FeedAnswer, FeedItem
from chervilstage.transport.clock import replica_clock
from chervilstage.transport.datagrams import bound_address, open_datagram_socket
from chervilstage.transport.token_entry import TokenEntry
from testing.support.token_relays import (
    FRONT_ADDRESS,
    SERVICE,
    make_opening_codec,
    make_packet,
    make_record,
    make_routing,
)

REPLICA = Address(host="10.0.1.1", port=1)
NEW_FRONT = Address(host="198.18.0.9", port=443)


def make_answer(version: int, *items: FeedItem) -> FeedAnswer:
    """Return an answer of a replica that has a version of the routing table."""
    return FeedAnswer(
        run=1,
        cursor=version,
        revision=version,
        is_current=True,
        routing_version=version,
        out=frozenset(),
        items=items,
        replicas=(),
        entries=(),
    )


def test_a_packet_waits_until_the_announced_routing_table_is_fetched() -> None:
    """Guards against dropping packets while a newer routing table is fetched."""
    upstream = open_datagram_socket("127.0.0.1", 0)
    record = make_record(1)
    identity = record.identity._replace(address=bound_address(upstream))
    record = record._replace(identity=identity)
    entry = TokenEntry(
        own=Peer(name="entry-1", data_centre="", address=Address("10.0.0.1", 1)),
        relay_address=Address(host="127.0.0.1", port=0),
        listed=lambda: [REPLICA],
        decode_routing=lambda document: make_routing(
            SERVICE,
            version=document.version,
            front=FRONT_ADDRESS if document.version == 1 else NEW_FRONT,
        ),
        codec=make_opening_codec(NEW_FRONT),
        key=b"",
        counters=Counters(),
        announcement_seconds=1.2,
    )
    entry.apply_answer(REPLICA, make_answer(1, FeedItem(record, 0.0, is_gone=False)))
    entry.apply_routing(RoutingDocument(version=1, content=b""))
    entry.apply_answer(REPLICA, make_answer(2))
    entry.relay.receive(b"opening", ("127.0.0.1", 1))
    assert len(entry.relay.pending) == 1
    entry.apply_answer(REPLICA, make_answer(2))
    entry.apply_routing(RoutingDocument(version=2, content=b""))
    try:
        received = upstream.recv(100)
    except BlockingIOError:
        received = b""
    upstream.close()
    entry.relay.sock.close()
    assert received == b"opening"


def test_an_entry_with_only_a_stale_routing_table_refuses_no_route() -> None:
    """Guards against resets by the old routing table of a partitioned replica."""
    entry = TokenEntry(
        own=Peer(name="entry-1", data_centre="", address=Address("10.0.0.1", 1)),
        relay_address=Address(host="127.0.0.1", port=0),
        listed=lambda: [REPLICA],
        decode_routing=lambda document: make_routing(SERVICE),
        codec=make_opening_codec(NEW_FRONT),
        key=b"",
        counters=Counters(),
        announcement_seconds=1.2,
    )
    item = FeedItem(make_record(1), 0.0, is_gone=False)
    entry.apply_answer(REPLICA, make_answer(1, item)._replace(is_current=False))
    entry.apply_routing(RoutingDocument(version=1, content=b""))
    caller = Address(host="100.64.0.1", port=40_001)
    opening = make_packet(caller, front=NEW_FRONT, is_opening=True)
    decision = relay_packet(entry.state, opening, replica_clock(), Random(1))
    entry.relay.sock.close()
    assert not (entry.is_ready() and isinstance(decision, ResetFlow))
