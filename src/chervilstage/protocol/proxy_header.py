"""The PROXY protocol v2 header of datagrams between an entry and an upstream."""

from __future__ import annotations

from collections.abc import Callable
from ipaddress import IPv4Address
from socket import SOCK_DGRAM, inet_aton, inet_ntoa
from typing import NamedTuple

from proxyprotocol import ProxyProtocolIncompleteError, ProxyProtocolSyntaxError
from proxyprotocol.result import ProxyResultIPv4
from proxyprotocol.v2 import ProxyProtocolV2

from ..errors.requests import MalformedDatagramError
from ..state.types import Address

HEADER_BYTES = 28
DECODE_ERRORS = (ProxyProtocolSyntaxError, ProxyProtocolIncompleteError, ValueError)

CODEC = ProxyProtocolV2()

# The first 16 bytes are the same for every IPv4 datagram; the relay builds the others
# from packed addresses, because the library's codec takes several times as long as
# the decision for a packet.
PREFIX_BYTES = 16
CALLER_ADDRESS_END = 20
CALLER_PORT_START, CALLER_PORT_END = 24, 26


class ProxiedDatagram(NamedTuple):
    """The payload of a datagram and the addresses in its header."""

    caller: Address
    front_end: Address
    payload: bytes


def pack_address(host: str, port: int) -> bytes:
    """Return the four bytes of an IPv4 address and the two of a port."""
    return inet_aton(host) + port.to_bytes(2, "big")


def header_writer(front_end: Address) -> Callable[[bytes], bytes]:
    """Return a function that builds the header for a packed caller and a front end."""
    prefix = encode_header(front_end, front_end)[:PREFIX_BYTES]
    packed = pack_address(*front_end)
    host, port = packed[:4], packed[4:]

    def write(caller: bytes) -> bytes:
        """Return the header of a packed caller."""
        return prefix + caller[:4] + host + caller[4:] + port

    return write


def extract_packed_caller(data: bytes, prefix: bytes) -> bytes | None:
    """Return the packed caller in a datagram's header, None without a valid header.

    :param prefix: the first bytes of every valid header.
    """
    if len(data) < HEADER_BYTES or not data.startswith(prefix):
        return None
    return (
        data[PREFIX_BYTES:CALLER_ADDRESS_END] + data[CALLER_PORT_START:CALLER_PORT_END]
    )


def unpack_address(packed: bytes) -> tuple[str, int]:
    """Return the host and port of a packed address."""
    return inet_ntoa(packed[:4]), int.from_bytes(packed[4:], "big")


def encode_header(caller: Address, front_end: Address) -> bytes:
    """Return the header that names a caller and a front end."""
    result = ProxyResultIPv4(
        (IPv4Address(caller.host), caller.port),
        (IPv4Address(front_end.host), front_end.port),
        protocol=SOCK_DGRAM,
    )
    return CODEC.pack(result)


def decode_datagram(data: bytes) -> ProxiedDatagram:
    """Split a datagram into the addresses of its header and its payload.

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
