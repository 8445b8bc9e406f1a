"""Status reports of an entry to the control replicas."""

from __future__ import annotations

from collections import Counter

from ..protocol.control_messages import ProcessStatus, encode_status
from ..protocol.kinds import Kind
from ..state.in_force import ConfigurationInForce
from ..state.registry import UpstreamRegistry
from ..state.types import Peer, UpstreamPhase
from .frame_channel import FrameServer
from .metrics import Gauges


def phase_gauges(registry: UpstreamRegistry) -> dict[str, float]:
    """Return how many registered upstreams are in each phase."""
    counts = Counter(record.phase for record in registry.records.values())
    return {f"upstreams_{phase.value}": counts[phase] for phase in UpstreamPhase}


def serve_entry_status(
    frames: FrameServer,
    in_force: ConfigurationInForce,
    gauges: Gauges,
    group: tuple[Peer, ...],
) -> None:
    """Answer status frames with the current revision and the gauges.

    :param group: this entry and its peers.
    """

    async def answer_status(sender: str, body: bytes) -> bytes:
        """Answer one status frame."""
        status = ProcessStatus(
            revision=in_force.current.revision, gauges=gauges(), group=group
        )
        return encode_status(status)

    frames.register(Kind.STATUS, answer_status)
