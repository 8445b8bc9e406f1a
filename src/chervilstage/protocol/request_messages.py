"""Encoding of request records, relayed requests and their outcomes."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any, NamedTuple

from ..coordination.record_ownership import RecordPush
from ..state.outcomes import (
    Answered,
    KeyedRequest,
    NotRun,
    Outcome,
    Refused,
    Unknown,
)
from ..state.request_records import (
    Answer,
    Headers,
    RecordPhase,
    RequestKey,
    RequestRecord,
)
from .schemas import pack, schema, unpack, wrap_decode_errors


class NotOwner(NamedTuple):
    """The addressed entry does not own the key in its epoch."""

    epoch: int


class RelayedRequest(NamedTuple):
    """A request that is relayed to the owner of its key.

    ``expires_ms`` is the time, by the clocks of the group, from which the request must
    no longer be started.
    """

    request: KeyedRequest
    expires_ms: int


def encode_push(push: RecordPush) -> bytes:
    """Return the encoding of records that are pushed to another entry."""
    message = schema("requests").Push.new_message(epoch=push.epoch, last=push.last)
    items = message.init("records", len(push.records))
    for item, record in zip(items, push.records, strict=True):
        _write_record(item, record)
    return pack(message)


@wrap_decode_errors()
def decode_push(data: bytes) -> RecordPush:
    """Decode records that another entry pushed.

    :raises EnvelopeFormatError: the bytes are not a valid push.
    """
    message = unpack(schema("requests").Push, data)
    records = tuple(_read_record(item) for item in message.records)
    return RecordPush(epoch=message.epoch, records=records, last=message.last)


def encode_acknowledgement(taken: bool) -> bytes:
    """Return the encoding of an acknowledgement.

    :param taken: whether the receiver accepted all records.
    """
    return pack(schema("requests").Taken.new_message(taken=taken))


@wrap_decode_errors()
def decode_acknowledgement(data: bytes) -> bool:
    """Return whether the receiver accepted all records; an empty answer means no.

    :raises EnvelopeFormatError: the bytes are not a valid acknowledgement.
    """
    return bool(data) and bool(unpack(schema("requests").Taken, data).taken)


def encode_relayed_request(relayed: RelayedRequest) -> bytes:
    """Return the encoding of a relayed request."""
    request = relayed.request
    message = schema("requests").KeyedRequest.new_message(
        key=request.key,
        service=request.service,
        method=request.method,
        target=request.target,
        body=request.body,
        attempt=request.attempt,
        timeoutMs=request.timeout_ms,
        expiresMs=relayed.expires_ms,
    )
    _write_headers(message, request.headers)
    return pack(message)


@wrap_decode_errors()
def decode_relayed_request(data: bytes) -> RelayedRequest:
    """Decode a relayed request.

    :raises EnvelopeFormatError: the bytes are not a valid request.
    """
    message = unpack(schema("requests").KeyedRequest, data)
    request = KeyedRequest(
        key=message.key,
        service=message.service,
        method=message.method,
        target=message.target,
        headers=_read_headers(message.headers),
        body=message.body,
        attempt=message.attempt,
        timeout_ms=message.timeoutMs,
    )
    return RelayedRequest(request=request, expires_ms=message.expiresMs)


def encode_relay_answer(outcome: Outcome | NotOwner) -> bytes:
    """Return the encoding of the outcome of a relayed request."""
    message = schema("requests").RelayAnswer.new_message()
    if isinstance(outcome, Answered):
        _write_answer(message.init("answered"), outcome.answer)
    elif isinstance(outcome, NotRun):
        message.notRun = outcome.reason
    elif isinstance(outcome, Unknown):
        message.unknown = outcome.reason
    elif isinstance(outcome, Refused):
        refused = message.init("refused")
        refused.status = outcome.status
        refused.code = outcome.code
        refused.reason = outcome.reason
    else:
        message.notOwner = outcome.epoch
    return pack(message)


@wrap_decode_errors()
def decode_relay_answer(data: bytes) -> Outcome | NotOwner:
    """Decode the outcome of a relayed request.

    :raises EnvelopeFormatError: the bytes are not a valid outcome.
    """
    message = unpack(schema("requests").RelayAnswer, data)
    which = message.which()
    if which == "answered":
        return Answered(answer=_read_answer(message.answered))
    if which == "notRun":
        return NotRun(reason=message.notRun)
    if which == "unknown":
        return Unknown(reason=message.unknown)
    if which == "notOwner":
        return NotOwner(epoch=message.notOwner)
    refused = message.refused
    return Refused(status=refused.status, code=refused.code, reason=refused.reason)


def _write_record(item: Any, record: RequestRecord) -> None:
    key = item.init("key")
    key.text = record.key.text
    key.stampMs = record.key.stamp_ms
    key.home = record.key.home
    item.digest = record.digest
    item.phase = record.phase.value
    item.epoch = record.epoch
    item.version = record.version
    item.refused = record.refused
    if record.answer is not None:
        _write_answer(item.init("answer"), record.answer)


def _read_record(item: Any) -> RequestRecord:
    phase = RecordPhase(str(item.phase))
    key = RequestKey(text=item.key.text, stamp_ms=item.key.stampMs, home=item.key.home)
    return RequestRecord(
        key=key,
        digest=item.digest,
        phase=phase,
        epoch=item.epoch,
        version=item.version,
        answer=_read_answer(item.answer) if phase is RecordPhase.ANSWERED else None,
        refused=item.refused,
    )


def _write_answer(item: Any, answer: Answer) -> None:
    item.status = answer.status
    item.body = answer.body
    _write_headers(item, answer.headers)


def _read_answer(item: Any) -> Answer:
    return Answer(
        status=item.status, headers=_read_headers(item.headers), body=item.body
    )


def _write_headers(message: Any, headers: Headers) -> None:
    message.headers = [{"name": n, "value": v} for n, v in headers]


def _read_headers(items: Iterable[Any]) -> Headers:
    return tuple((item.name, item.value) for item in items)
