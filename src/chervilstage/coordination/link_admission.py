"""Admit new flows at an entry according to the pending load of its link.

Requests admitted beyond the capacity of a link delay each other until none is answered
in time. A caller that is rejected immediately retries through another entry.
"""

from __future__ import annotations

from ..state.flow_packets import SEQUENCE_SPACE
from ..state.link import Link
from ..state.routing import Endpoint, Route
from ..state.token_flows import TokenFlow, TokenRelayState

# The share of its latency objective that a request may wait for others on the link.
MAXIMUM_WAIT_SHARE = 0.3
SIZE_SMOOTHING_FACTOR = 0.1


def can_admit_request(state: TokenRelayState, front: Endpoint, route: Route) -> bool:
    """Return whether a new request would wait an acceptable time for others.

    A link without pending load admits any request.
    """
    objective = route.objective_seconds or route.timeout_seconds
    size = state.request_bytes.get(front, 0.0)
    return _queueing_delay_seconds(state.link, size) <= MAXIMUM_WAIT_SHARE * objective


def add_expected_request(
    state: TokenRelayState, flow: TokenFlow, front: Endpoint
) -> None:
    """Add the request that a flow is about to send to the expected load."""
    remove_expected_request(state.link, flow)
    flow.expected_bytes = state.request_bytes.get(front, 0.0)
    if flow.expected_bytes:
        state.link.expected_bytes += flow.expected_bytes
        state.link.expected_flows += 1


def subtract_request_bytes(link: Link, flow: TokenFlow, size: int) -> None:
    """Subtract received bytes of a request from the expected load."""
    if flow.expected_bytes > size:
        flow.expected_bytes -= size
        link.expected_bytes -= size
    else:
        remove_expected_request(link, flow)


def remove_expected_request(link: Link, flow: TokenFlow) -> None:
    """Remove the rest of a flow's request from the expected load."""
    if flow.expected_bytes:
        link.expected_bytes -= flow.expected_bytes
        link.expected_flows -= 1
        flow.expected_bytes = 0.0
    if not link.expected_flows:
        # Rounding errors would otherwise accumulate.
        link.expected_bytes = 0.0


def update_request_size(
    state: TokenRelayState, flow: TokenFlow, front: Endpoint
) -> None:
    """Update the smoothed request size of a route after an answered request."""
    size = (flow.sent_up_to - flow.request_start_sequence) % SEQUENCE_SPACE
    average = state.request_bytes.get(front)
    if average is None:
        state.request_bytes[front] = float(size)
    else:
        state.request_bytes[front] = average + SIZE_SMOOTHING_FACTOR * (size - average)


def _queueing_delay_seconds(link: Link, size: float) -> float:
    """Return the seconds that a new request of the given size waits for others.

    Flows are served round-robin, so a short request doesn't wait for long ones to end.
    """
    pending_bytes = link.expected_bytes + link.queue.bytes
    flows = max(link.expected_flows, len(link.queue.flows))
    return min(pending_bytes, flows * size) / link.bytes_per_second
