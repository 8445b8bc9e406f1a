"""Exchanges view and pin messages between the entries of a group."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable
from functools import partial

import anyio
from anyio.abc import TaskGroup

from ..coordination.flow_effects import FlowEffect, ReleasePackets, SendToPeer
from ..coordination.flow_events import (
    IDLE_TICK_SECONDS,
    TICK_SECONDS,
    handle_flow_message,
    handle_member_event,
    is_idle,
    run_flow_timers,
)
from ..coordination.hand_over import is_hand_over_complete
from ..coordination.membership import MemberEvent
from ..protocol.flow_messages import KINDS, decode_flow_message, encode_flow_message
from ..protocol.kinds import Kind
from ..state.flow_state import FlowState
from ..state.types import UpstreamId
from ..state.view import ViewId
from .application import Hooks
from .event_log import log_event
from .peer_link import PeerLink

# Comparing 300,000 flows within the control traffic budget takes 35 s; a planned stop
# is limited to 60 s.
HAND_OVER_TIMEOUT_SECONDS = 50.0

ReleaseHandler = Callable[[str, int, UpstreamId | None], None]


class FlowLink:
    """Carries out the effects of flow decisions.

    :param release: sends the pending packets of a flow, given the service, the flow's
        key and the upstream; drops them if the upstream is None.
    """

    def __init__(
        self, *, state: FlowState, link: PeerLink, release: ReleaseHandler
    ) -> None:
        self.state = state
        self.link = link
        self.release = release
        self.logged_view = ViewId()
        self.handed_over = anyio.Event()
        self.wake_requested = anyio.Event()
        for kind in KINDS.values():
            link.register(kind, partial(self.receive, kind))

    def receive(self, kind: Kind, sender: str, body: bytes) -> None:
        """Handle a message of a peer."""
        message = decode_flow_message(kind, body)
        self.apply(handle_flow_message(self.state, sender, message, time.monotonic()))

    def on_member(self, event: MemberEvent) -> None:
        """Handle a membership event of the group."""
        self.apply(handle_member_event(self.state, event, time.monotonic()))

    def apply(self, effects: Iterable[FlowEffect]) -> None:
        """Carry out effects in order."""
        for effect in effects:
            match effect:
                case SendToPeer(peer=peer, message=message):
                    body = encode_flow_message(message)
                    self.link.send(peer, KINDS[type(message)], body)
                case ReleasePackets(service=service, key=key, upstream=upstream):
                    self.release(service, key, upstream)
        if not is_idle(self.state):
            self.wake()
        view = self.state.view.identity
        if view != self.logged_view:
            self.logged_view = view
            log_event(
                "view_in_force",
                number=view.number,
                coordinator=view.coordinator,
                upstreams=self.state.view.upstream_count(),
            )

    def wake(self) -> None:
        """Run the periodic work now if the loop is idle."""
        self.wake_requested.set()

    async def run(self) -> None:
        """Run the periodic work until cancelled."""
        while True:
            self.apply(run_flow_timers(self.state, time.monotonic()))
            if is_hand_over_complete(self.state):
                self.handed_over.set()
            await anyio.sleep(TICK_SECONDS)
            if is_idle(self.state):
                self.wake_requested = anyio.Event()
                with anyio.move_on_after(IDLE_TICK_SECONDS - TICK_SECONDS):
                    await self.wake_requested.wait()

    async def start(self, group: TaskGroup) -> None:
        """Start the periodic work."""
        group.start_soon(self.run)

    async def drain(self) -> None:
        """Wait until peers have stored the pins that only this entry has."""
        with anyio.move_on_after(HAND_OVER_TIMEOUT_SECONDS) as scope:
            await self.handed_over.wait()
        log_event(
            "pins_handed_over",
            peers=len(self.state.handed_over_to),
            complete=not scope.cancelled_caught,
        )

    def hooks(self) -> Hooks:
        """Return the life-cycle hooks."""
        return Hooks(name="flows", start=self.start, drain=self.drain)
