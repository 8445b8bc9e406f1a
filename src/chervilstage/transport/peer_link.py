"""Authenticated datagrams between the entries of a group."""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable

from anyio.abc import TaskGroup

from ..errors import ChervilstageError
from ..protocol.envelope import Envelope, decode_envelope, encode_envelope
from ..protocol.kinds import Kind
from ..state.counters import Counters
from ..state.types import Address, Peer
from .application import Hooks
from .datagrams import open_datagram_socket, receive_datagrams, send_datagram
from .event_log import log_event

PeerHandler = Callable[[str, bytes], None]


class PeerLink:
    """Sends and receives the datagrams of one entry.

    Handlers receive the name of the sender and the body of the message.

    :param name: the name of this entry.
    :param address: the address to receive on.
    :param key: the shared key of the processes.
    :param peers: the other entries of the group.
    """

    def __init__(
        self,
        *,
        name: str,
        address: Address,
        key: bytes,
        peers: Iterable[Peer],
        counters: Counters,
    ) -> None:
        self.name = name
        self.key = key
        self.peers = {peer.name: peer for peer in peers}
        self.counters = counters
        self.handlers: dict[int, PeerHandler] = {}
        self.sock = open_datagram_socket(*address)

    def register(self, kind: Kind, handler: PeerHandler) -> None:
        """Register the handler for a kind of message."""
        self.handlers[kind] = handler

    def send(self, peer: str, kind: Kind, body: bytes) -> bool:
        """Send a message to one peer and return whether the kernel accepted it."""
        envelope = Envelope(kind=kind, sender=self.name, body=body)
        data = encode_envelope(envelope, self.key)
        self.counters.add("control_bytes_sent", kind.name.lower(), len(data))
        return send_datagram(self.sock, data, self.peers[peer].address)

    def broadcast(self, kind: Kind, body: bytes) -> None:
        """Send a message to every peer."""
        for peer in self.peers:
            self.send(peer, kind, body)

    def receive(self, data: bytes, sender: tuple[str, int]) -> None:
        """Authenticate, decode and dispatch one datagram."""
        try:
            envelope = decode_envelope(data, self.key)
            handler = self.handlers.get(envelope.kind)
            if handler and envelope.sender in self.peers:
                handler(envelope.sender, envelope.body)
            else:
                self.counters.add("peer_messages_refused", "unknown")
        except ChervilstageError as error:
            self.counters.add("peer_messages_refused", error.code)
            log_event(
                "peer_message_refused",
                level=logging.WARNING,
                sender=f"{sender[0]}:{sender[1]}",
                code=error.code,
                reason=error,
            )

    async def start(self, group: TaskGroup) -> None:
        """Start receiving."""
        group.start_soon(receive_datagrams, self.sock, self.receive)

    async def stop(self) -> None:
        """Close the socket."""
        self.sock.close()

    def hooks(self) -> Hooks:
        """Return the life-cycle hooks."""
        return Hooks(name="peer_link", start=self.start, stop=self.stop)
