"""Fuzz tests: decoders raise only typed errors, whatever the input."""

from __future__ import annotations

import inspect
import pkgutil
from collections.abc import Callable
from hashlib import blake2b
from importlib import import_module
from typing import Any

import pytest
from hypothesis import example, given, strategies as st

from chervilstage import protocol
from chervilstage.errors import ChervilstageError
from chervilstage.errors.access import EnvelopeFormatError
from chervilstage.protocol.envelope import (
    TAG_BYTES,
    Envelope,
    decode_envelope,
    encode_envelope,
)
from chervilstage.protocol.kinds import Kind
from testing.support.damaged_texts import damaged_messages

KEY = b"k" * 32


def decoders() -> list[Callable[..., Any]]:
    """Return every public decoder of bytes in the protocol layer."""
    found: list[Callable[..., Any]] = []
    for module_info in pkgutil.iter_modules(protocol.__path__):
        module = import_module(f"{protocol.__name__}.{module_info.name}")
        for name, function in inspect.getmembers(module, inspect.isfunction):
            if name.startswith("decode_") and function.__module__ == module.__name__:
                found.append(function)
    return found


def decode(decoder: Callable[..., Any], data: bytes) -> None:
    """Decode as each kind that the decoder supports, and accept only typed errors."""
    names = inspect.signature(decoder).parameters
    known = {"data": data, "key": KEY, "source": "fuzz"}
    for kind in Kind if "kind" in names else (Kind.HEARTBEAT,):
        arguments = {name: {**known, "kind": kind}[name] for name in names}
        try:
            decoder(**arguments)
        except ChervilstageError as error:
            assert error.code


@pytest.mark.parametrize("decoder", decoders(), ids=lambda d: d.__name__)
@given(data=st.one_of(st.binary(max_size=200), st.binary(min_size=200, max_size=4096)))
@example(data=b"")
@example(data=b"\x00" * 64)
@example(data=b"\xff" * 64)
@example(data=b"\x10\x05\x01\x01\xff\xff\xff\xff\xff\xff\xff\xff\x00")
@example(data=b"{}")
@example(data=b'{"revision": 1e400}')
@example(data=b"[" * 4000)
def test_decoder_raises_only_typed_errors(
    decoder: Callable[..., Any], data: bytes
) -> None:
    """Guards against a message that crashes the receiving process."""
    decode(decoder, data)


def unpacked_structs(
    decoder: Callable[..., Any], monkeypatch: pytest.MonkeyPatch
) -> list[Any]:
    """Return the structs of messages that a decoder unpacks."""
    found: list[Any] = []
    module = import_module(decoder.__module__)

    def unpack(struct: Any, data: bytes) -> Any:
        """Record the struct and fail as for a damaged message."""
        found.append(struct)
        raise EnvelopeFormatError(reason="not read")

    with monkeypatch.context() as patch:
        patch.setattr(module, "unpack", unpack, raising=False)
        decode(decoder, with_tag(decoder, b"x" * 40))
    return found


def with_tag(decoder: Callable[..., Any], data: bytes) -> bytes:
    """Return a message with the tag that a decoder checks, if it checks one."""
    is_tagged = "key" in inspect.signature(decoder).parameters
    tag = blake2b(data, key=KEY, digest_size=TAG_BYTES).digest()
    return tag + data if is_tagged else data


@pytest.mark.parametrize("decoder", decoders(), ids=lambda d: d.__name__)
def test_text_that_is_not_utf8_raises_only_a_typed_error(
    decoder: Callable[..., Any], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against one invalid text that crashes the receiving process."""
    for struct in unpacked_structs(decoder, monkeypatch):
        for data in damaged_messages(struct):
            decode(decoder, with_tag(decoder, data))


@given(flips=st.lists(st.tuples(st.integers(0, 10_000), st.integers(1, 255))))
def test_modified_envelope_is_rejected(flips: list[tuple[int, int]]) -> None:
    """Guards against a tag that does not cover the whole message."""
    data = encode_envelope(Envelope(kind=1, sender="a", body=b"body" * 20), KEY)
    modified = bytearray(data)
    for position, mask in flips:
        modified[position % len(modified)] ^= mask
    if bytes(modified) == data:
        return
    with pytest.raises(ChervilstageError) as caught:
        decode_envelope(bytes(modified), KEY)
    assert caught.value.code == "CS-ACCESS-001"
