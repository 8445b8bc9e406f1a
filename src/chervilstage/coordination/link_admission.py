"""Whether an entry takes a new flow, by what its link has still to carry.

Requests that are let in beyond what a link carries make each other late until none is
answered in time. A caller that is refused at once tries again through another entry.
"""

from __future__ import annotations

from ..state.flow_packets import NUMBER_SPACE
from ..state.link import Link
from ..state.routing import Endpoint, Route
from ..state.token_flows import TokenFlow, TokenRelayState

# The part of its objective that a request may wait for others on the link.
WAIT_SHARE = 0.3
SIZE_WEIGHT = 0.1


def has_room(state: TokenRelayState, front: Endpoint, route: Route) -> bool:
    """Tell whether one more request of a route need not wait too long for others.

    A link that has nothing else to carry takes any request.
    """
    objective = route.objective_seconds or route.timeout_seconds
    size = state.request_bytes.get(front, 0.0)
    return _seconds_for_others(state.link, size) <= WAIT_SHARE * objective


def expect_request(state: TokenRelayState, flow: TokenFlow, front: Endpoint) -> None:
    """Count a request that a flow is about to send."""
    forget_request(state.link, flow)
    flow.expected_bytes = state.request_bytes.get(front, 0.0)
    if flow.expected_bytes:
        state.link.expected_bytes += flow.expected_bytes
        state.link.expected_flows += 1


def note_request_bytes(link: Link, flow: TokenFlow, size: int) -> None:
    """Count bytes of a request that have come."""
    if flow.expected_bytes > size:
        flow.expected_bytes -= size
        link.expected_bytes -= size
    else:
        forget_request(link, flow)


def forget_request(link: Link, flow: TokenFlow) -> None:
    """Expect no more of the request of a flow."""
    if flow.expected_bytes:
        link.expected_bytes -= flow.expected_bytes
        link.expected_flows -= 1
        flow.expected_bytes = 0.0
    if not link.expected_flows:
        # Rounding leaves a rest.
        link.expected_bytes = 0.0


def learn_size(state: TokenRelayState, flow: TokenFlow, front: Endpoint) -> None:
    """Take note of the size of a request that was answered."""
    size = (flow.highest - flow.began_at) % NUMBER_SPACE
    usual = state.request_bytes.get(front)
    if usual is None:
        state.request_bytes[front] = float(size)
    else:
        state.request_bytes[front] = usual + SIZE_WEIGHT * (size - usual)


def _seconds_for_others(link: Link, size: float) -> float:
    """Return the seconds that a new request of a size waits for others.

    Flows take turns, so a short request need not wait until long ones are over.
    """
    expected = link.expected_bytes + link.queue.bytes
    flows = max(link.expected_flows, len(link.queue.flows))
    return min(expected, flows * size) / link.bytes_per_second
