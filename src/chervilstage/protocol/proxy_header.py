"""The PROXY protocol v2 header of datagrams between an entry and an upstream."""

from __future__ import annotations

from ipaddress import IPv4Address
from socket import SOCK_DGRAM
from typing import NamedTuple

from proxyprotocol import ProxyProtocolIncompleteError, ProxyProtocolSyntaxError
from proxyprotocol.result import ProxyResultIPv4
from proxyprotocol.v2 import ProxyProtocolV2

from ..errors.requests import MalformedDatagramError
from ..state.types import Address

HEADER_BYTES = 28
DECODE_ERRORS = (ProxyProtocolSyntaxError, ProxyProtocolIncompleteError, ValueError)

CODEC = ProxyProtocolV2()


class ProxiedDatagram(NamedTuple):
    """A datagram with the addresses that its header names."""

    caller: Address
    front_end: Address
    payload: bytes


def encode_header(caller: Address, front_end: Address) -> bytes:
    """Return the header that names a caller and a front end."""
    result = ProxyResultIPv4(
        (IPv4Address(caller.host), caller.port),
        (IPv4Address(front_end.host), front_end.port),
        protocol=SOCK_DGRAM,
    )
    return CODEC.pack(result)


def decode_datagram(data: bytes) -> ProxiedDatagram:
    """Split a datagram into its header and its payload.

    :raises MalformedDatagramError: there is no valid IPv4 datagram header.
    """
    try:
        result = CODEC.unpack(data[:HEADER_BYTES])
    except (
        ProxyProtocolSyntaxError,
        ProxyProtocolIncompleteError,
        ValueError,
    ) as error:
        raise MalformedDatagramError(reason=error) from error
    if not isinstance(result, ProxyResultIPv4):
        raise MalformedDatagramError(reason="no IPv4 addresses")
    return ProxiedDatagram(
        caller=_address(result.source),
        front_end=_address(result.dest),
        payload=data[HEADER_BYTES:],
    )


def _address(pair: tuple[IPv4Address, int]) -> Address:
    return Address(host=str(pair[0]), port=pair[1])
