"""The responses that tell callers what became of their requests."""

from __future__ import annotations

from ..errors import ChervilstageError
from ..errors.requests import (
    AnswerCrossedError,
    AnswerUnboundedError,
    BodyTooLargeError,
    ConnectionLimitError,
    HeaderTooLargeError,
    KeyMalformedError,
    KeyReusedError,
    MalformedRequestError,
    OutcomeUnknownError,
    RecordsFullError,
    RequestNotRunError,
)
from ..protocol.request_headers import CODE_HEADER, NOT_RUN, OUTCOME_HEADER, UNKNOWN
from ..state.outcomes import Answered, NotRun, Outcome, Refused, Unknown
from .http_connection import HttpResponse
from .http_server import error_response

STATUS_OF: dict[type[ChervilstageError], int] = {
    BodyTooLargeError: 413,
    HeaderTooLargeError: 431,
    KeyReusedError: 422,
    RequestNotRunError: 503,
    ConnectionLimitError: 503,
    RecordsFullError: 503,
    OutcomeUnknownError: 504,
    AnswerCrossedError: 504,
    AnswerUnboundedError: 504,
}
# These outcomes hold for every attempt of the key. A request that was not read, or
# that was refused by its form, may carry a key that ran before.
NEVER_RUN = (KeyMalformedError, RequestNotRunError)
OUTCOME_NOT_TOLD = (
    ConnectionLimitError,
    HeaderTooLargeError,
    KeyReusedError,
    MalformedRequestError,
)


def failure_response(error: ChervilstageError) -> HttpResponse:
    """Return the response that tells the caller why a request failed."""
    response = error_response(STATUS_OF.get(type(error), 400), error)
    if isinstance(error, NEVER_RUN):
        return _with_outcome(response, NOT_RUN)
    if isinstance(error, OUTCOME_NOT_TOLD):
        return response
    return _with_outcome(response, UNKNOWN)


def outcome_response(outcome: Outcome) -> HttpResponse:
    """Return the response of an outcome."""
    if isinstance(outcome, Answered):
        answer = outcome.answer
        return HttpResponse(
            status=answer.status, headers=dict(answer.headers), body=answer.body
        )
    if isinstance(outcome, NotRun):
        return failure_response(RequestNotRunError(reason=outcome.reason))
    if isinstance(outcome, Unknown):
        return failure_response(OutcomeUnknownError(reason=outcome.reason))
    return _refusal(outcome)


def _refusal(outcome: Refused) -> HttpResponse:
    return HttpResponse(
        status=outcome.status,
        headers={CODE_HEADER: outcome.code},
        body=f"{outcome.code} {outcome.reason}\n".encode(),
    )


def _with_outcome(response: HttpResponse, outcome: str) -> HttpResponse:
    return response._replace(headers={**response.headers, OUTCOME_HEADER: outcome})
