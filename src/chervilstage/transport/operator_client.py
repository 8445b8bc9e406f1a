"""Calls of the operators' client to the control replicas."""

from __future__ import annotations

from ..errors.access import OperatorKeyError
from ..errors.configuration import ChangeInvalidError
from ..protocol.changes import decode_outcome, encode_change
from ..protocol.documents import decode_configuration
from ..state.configuration import Change, ChangeOutcome, Configuration
from ..state.types import Address
from .http_client import http_request
from .http_connection import HttpResponse


async def fetch_configuration(control: Address, key: str) -> Configuration:
    """Return the newest accepted configuration."""
    answer = await http_request(
        control, "GET", "/v1/configuration", headers=_authorization(key)
    )
    _check(answer)
    return decode_configuration(answer.body)


async def submit_change(control: Address, key: str, change: Change) -> ChangeOutcome:
    """Submit a change and return its outcome."""
    answer = await http_request(
        control,
        "POST",
        "/v1/changes",
        body=encode_change(change),
        headers=_authorization(key),
    )
    _check(answer)
    return decode_outcome(answer.body)


def _authorization(key: str) -> dict[str, str]:
    return {"authorization": f"Bearer {key}"}


def _check(answer: HttpResponse) -> None:
    if answer.status == 401:
        raise OperatorKeyError()
    if answer.status != 200:
        raise ChangeInvalidError(problems=answer.body.decode().strip())
