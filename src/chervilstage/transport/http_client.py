"""A minimal HTTP client that sends one request at a time."""

from __future__ import annotations

import ssl
from collections.abc import Mapping

import anyio
import h11
from anyio.abc import ByteStream

from ..errors import ChervilstageError
from ..errors.access import PeerUnreachableError
from ..state.types import Address
from .http_connection import HttpConnection, HttpResponse, header_list, header_map

MAXIMUM_ANSWER_BYTES = 64 * 1024 * 1024


async def http_request(
    address: Address,
    method: str,
    target: str,
    *,
    body: bytes = b"",
    headers: Mapping[str, str] | None = None,
    timeout_seconds: float = 5.0,
    tls: ssl.SSLContext | None = None,
) -> HttpResponse:
    """Send one request over a new connection and return the whole answer.

    :param timeout_seconds: the limit for connecting, sending and the whole answer.
    :param tls: the context for TLS, or ``None`` for plain TCP.
    :raises PeerUnreachableError: no complete answer arrived in time.
    """
    try:
        with anyio.fail_after(timeout_seconds):
            async with await _connect(address, tls) as stream:
                connection = HttpConnection(stream=stream, role=h11.CLIENT)
                return await send_request(
                    connection, method, target, address, body, headers or {}
                )
    except (
        OSError,
        TimeoutError,
        anyio.BrokenResourceError,
        anyio.ClosedResourceError,
        ChervilstageError,
    ) as error:
        raise PeerUnreachableError(
            address=f"{address.host}:{address.port}",
            reason=f"{type(error).__name__} {error}",
        ) from error


async def _connect(address: Address, tls: ssl.SSLContext | None) -> ByteStream:
    if tls is None:
        return await anyio.connect_tcp(*address)
    return await anyio.connect_tcp(
        address.host, address.port, ssl_context=tls, tls_standard_compatible=False
    )


async def send_request(
    connection: HttpConnection,
    method: str,
    target: str,
    address: Address,
    body: bytes,
    headers: Mapping[str, str],
) -> HttpResponse:
    """Send one request over an open connection and return the whole answer."""
    fields = {
        "host": f"{address.host}:{address.port}",
        "content-length": str(len(body)),
        **headers,
    }
    await connection.send(
        h11.Request(method=method, target=target, headers=header_list(fields))
    )
    if body:
        await connection.send(h11.Data(data=body))
    await connection.send(h11.EndOfMessage())
    event = await connection.next_event()
    if not isinstance(event, h11.Response):
        raise PeerUnreachableError(
            address=f"{address.host}:{address.port}", reason="connection closed"
        )
    return HttpResponse(
        status=event.status_code,
        headers=header_map(event.headers),
        body=await connection.read_body(MAXIMUM_ANSWER_BYTES),
    )
