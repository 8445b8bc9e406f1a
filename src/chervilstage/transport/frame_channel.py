"""Authenticated request and response frames over TCP between the processes."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable
from contextlib import suppress

import anyio
from anyio.abc import ByteStream, SocketStream, TaskGroup
from anyio.streams.buffered import BufferedByteReceiveStream

from ..errors import ChervilstageError
from ..errors.access import FrameSizeError, PeerUnreachableError
from ..protocol.envelope import Envelope, decode_envelope, encode_envelope
from ..protocol.kinds import Kind
from ..state.counters import Counters
from ..state.types import Address
from .application import Hooks
from .event_log import log_event

LENGTH_BYTES = 4
MAXIMUM_FRAME_BYTES = 16 * 1024 * 1024
IDLE_TIMEOUT_SECONDS = 120.0
MAXIMUM_CONNECTIONS = 1024

FrameHandler = Callable[[str, bytes], Awaitable[bytes]]


class FrameServer:
    """Answers the frames of other processes.

    A handler receives the name of the sender and the body, and returns the body of
    the answer. A frame of a kind without a handler gets an empty answer.
    """

    def __init__(
        self, *, name: str, address: Address, key: bytes, counters: Counters
    ) -> None:
        self.name = name
        self.address = address
        self.key = key
        self.counters = counters
        self.handlers: dict[int, FrameHandler] = {}
        self.limiter = anyio.CapacityLimiter(MAXIMUM_CONNECTIONS)

    def register(self, kind: Kind, handler: FrameHandler) -> None:
        """Register the handler for a kind of frame."""
        self.handlers[kind] = handler

    async def start(self, group: TaskGroup) -> None:
        """Bind the address and accept connections."""
        listener = await anyio.create_tcp_listener(
            local_host=self.address.host, local_port=self.address.port
        )
        group.start_soon(listener.serve, self.serve_connection)

    async def serve_connection(self, stream: SocketStream) -> None:
        """Answer the frames of one connection until it ends."""
        async with stream, self.limiter:
            buffered = BufferedByteReceiveStream(stream)
            with suppress(
                anyio.EndOfStream,
                anyio.IncompleteRead,
                anyio.BrokenResourceError,
                anyio.ClosedResourceError,
                TimeoutError,
            ):
                while await self.serve_frame(stream, buffered):
                    pass

    async def serve_frame(
        self, stream: SocketStream, buffered: BufferedByteReceiveStream
    ) -> bool:
        """Answer one frame and return whether the connection can be kept."""
        try:
            with anyio.fail_after(IDLE_TIMEOUT_SECONDS):
                request = await receive_frame(buffered, self.key)
            handler = self.handlers.get(request.kind)
            body = await handler(request.sender, request.body) if handler else b""
        except ChervilstageError as error:
            self.counters.add("frames_refused", error.code)
            log_event(
                "frame_refused", level=logging.WARNING, code=error.code, reason=error
            )
            return False
        answer = Envelope(kind=request.kind, sender=self.name, body=body)
        await send_frame(stream, answer, self.key, self.counters)
        return True

    def hooks(self) -> Hooks:
        """Return the life-cycle hooks."""
        return Hooks(name="frame_server", start=self.start)


class FrameClient:
    """Calls other processes and reuses idle connections to each address."""

    def __init__(self, *, name: str, key: bytes, counters: Counters) -> None:
        self.name = name
        self.key = key
        self.counters = counters
        self.idle_connections: dict[Address, list[SocketStream]] = {}

    async def call(
        self, address: Address, kind: Kind, body: bytes, timeout: float
    ) -> bytes:
        """Send a frame and return the body of the answer.

        :param timeout: seconds.
        :raises PeerUnreachableError: the call failed or was not answered in time.
        """
        stream: SocketStream | None = None
        try:
            with anyio.fail_after(timeout):
                stream = await self.connect(address)
                envelope = Envelope(kind=kind, sender=self.name, body=body)
                await send_frame(stream, envelope, self.key, self.counters)
                answer = await receive_frame(
                    BufferedByteReceiveStream(stream), self.key
                )
            self.idle_connections.setdefault(address, []).append(stream)
            stream = None
        except (
            OSError,
            TimeoutError,
            anyio.EndOfStream,
            anyio.IncompleteRead,
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
        ) as error:
            raise PeerUnreachableError(
                address=f"{address.host}:{address.port}", reason=type(error).__name__
            ) from error
        finally:
            if stream is not None:
                await anyio.aclose_forcefully(stream)
        return answer.body

    async def connect(self, address: Address) -> SocketStream:
        """Return an idle connection or a new one."""
        idle = self.idle_connections.get(address)
        if idle:
            return idle.pop()
        return await anyio.connect_tcp(address.host, address.port)

    async def stop(self) -> None:
        """Close all idle connections."""
        for streams in self.idle_connections.values():
            for stream in streams:
                await anyio.aclose_forcefully(stream)

    def hooks(self) -> Hooks:
        """Return the life-cycle hooks."""
        return Hooks(name="frame_client", stop=self.stop)


async def send_frame(
    stream: ByteStream, envelope: Envelope, key: bytes, counters: Counters
) -> None:
    """Send one frame."""
    data = encode_envelope(envelope, key)
    counters.add("control_bytes_sent", Kind(envelope.kind).name.lower(), len(data))
    await stream.send(len(data).to_bytes(LENGTH_BYTES, "big") + data)


async def receive_frame(buffered: BufferedByteReceiveStream, key: bytes) -> Envelope:
    """Receive and authenticate one frame.

    :raises FrameSizeError: the frame exceeds the size limit.
    """
    size = int.from_bytes(await buffered.receive_exactly(LENGTH_BYTES), "big")
    if size > MAXIMUM_FRAME_BYTES:
        raise FrameSizeError(size=size, limit=MAXIMUM_FRAME_BYTES)
    return decode_envelope(await buffered.receive_exactly(size), key)
