"""Answers flow queries on entries, and queries entries on behalf of operators."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

import anyio

from ..coordination.flow_explanation import explain_flow
from ..errors import ChervilstageError
from ..errors.requests import MalformedRequestError
from ..protocol.explanation_messages import (
    FlowQuery,
    decode_explanation,
    decode_flow_query,
    encode_explanation,
    encode_flow_query,
)
from ..protocol.kinds import Kind
from ..protocol.proxy_header import pack_address
from ..state.flow_state import FlowState
from ..state.types import Peer
from ..state.view import flow_key, service_seed
from .frame_channel import FrameClient, FrameServer

EXPLAIN_TIMEOUT_SECONDS = 1.0


def serve_explanations(frames: FrameServer, state: FlowState) -> None:
    """Answer flow queries from the state of this entry."""

    async def answer_query(sender: str, body: bytes) -> bytes:
        """Answer one flow query."""
        query = decode_flow_query(body)
        try:
            caller = pack_address(*query.caller)
        except OSError as error:
            raise MalformedRequestError(reason=error) from error
        key = flow_key(service_seed(query.service), caller)
        now = anyio.current_time()
        return encode_explanation(explain_flow(state, query.service, key, now))

    frames.register(Kind.EXPLAIN_FLOW, answer_query)


async def collect_explanations(
    frames: FrameClient, entries: Iterable[Peer], query: FlowQuery
) -> list[dict[str, Any]]:
    """Query each entry and return its answer or its error, in the given order."""
    peers = list(entries)
    documents: dict[str, dict[str, Any]] = {}
    body = encode_flow_query(query)

    async def query_entry(peer: Peer) -> None:
        """Store the answer of one entry, or the error if it fails."""
        try:
            answer = await frames.call(
                peer.address, Kind.EXPLAIN_FLOW, body, EXPLAIN_TIMEOUT_SECONDS
            )
            documents[peer.name] = decode_explanation(answer)._asdict()
        except ChervilstageError as error:
            documents[peer.name] = {"error": f"{error.code} {error}"}

    async with anyio.create_task_group() as group:
        for peer in peers:
            group.start_soon(query_entry, peer)
    return [{"entry": peer.name, **documents[peer.name]} for peer in peers]
