"""The responses that report the outcomes of requests to callers."""

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

ERROR_STATUSES: dict[type[ChervilstageError], int] = {
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
# A reported outcome applies to every attempt with the key of the request.
NOT_RUN_ERRORS = (KeyMalformedError, RequestNotRunError)
# A request that was not read, or that was refused as malformed, may carry a key whose
# request has already run, so no outcome is reported.
ERRORS_WITHOUT_OUTCOME = (
    ConnectionLimitError,
    HeaderTooLargeError,
    KeyReusedError,
    MalformedRequestError,
)


def failure_response(error: ChervilstageError) -> HttpResponse:
    """Return the response that reports the failure of a request."""
    response = error_response(ERROR_STATUSES.get(type(error), 400), error)
    if isinstance(error, NOT_RUN_ERRORS):
        return _with_outcome(response, NOT_RUN)
    if isinstance(error, ERRORS_WITHOUT_OUTCOME):
        return response
    return _with_outcome(response, UNKNOWN)


def outcome_response(outcome: Outcome) -> HttpResponse:
    """Return the response that reports an outcome."""
    if isinstance(outcome, Answered):
        answer = outcome.answer
        return HttpResponse(
            status=answer.status, headers=dict(answer.headers), body=answer.body
        )
    if isinstance(outcome, NotRun):
        return failure_response(RequestNotRunError(reason=outcome.reason))
    if isinstance(outcome, Unknown):
        return failure_response(OutcomeUnknownError(reason=outcome.reason))
    return _refusal_response(outcome)


def _refusal_response(outcome: Refused) -> HttpResponse:
    return HttpResponse(
        status=outcome.status,
        headers={CODE_HEADER: outcome.code},
        body=f"{outcome.code} {outcome.reason}\n".encode(),
    )


def _with_outcome(response: HttpResponse, outcome: str) -> HttpResponse:
    return response._replace(headers={**response.headers, OUTCOME_HEADER: outcome})
