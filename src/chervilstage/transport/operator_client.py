"""Client for the operator calls of the control replicas."""

from __future__ import annotations

import json
import ssl
from collections.abc import Mapping, Sequence
from typing import Any
from urllib.parse import urlencode

from ..errors import ChervilstageError
from ..errors.access import OperatorKeyError, PeerUnreachableError
from ..errors.configuration import (
    ChangeUnsettledError,
    LeadLostError,
    NoQuorumError,
    NotLeaderError,
    OperatorCallError,
    ReplicaBusyError,
)
from ..protocol.changes import decode_outcome, decode_outcomes
from ..protocol.configuration_records import encode_change
from ..protocol.documents import decode_configuration
from ..state.configuration import Change, ChangeOutcome, Configuration
from ..state.types import Address
from .http_client import http_request
from .http_connection import HttpResponse

CALL_TIMEOUT_SECONDS = 15.0
# Errors after which another replica may still answer the call.
RETRYABLE_CODES = frozenset(
    error.code
    for error in (
        NotLeaderError,
        ChangeUnsettledError,
        LeadLostError,
        ReplicaBusyError,
    )
)


class OperatorClient:
    """Calls the control replicas in order until one answers.

    A change may be sent to several replicas in turn: its operation id makes a resend
    return the first outcome.

    :param replicas: the operator addresses of the replicas, tried in order.
    :param key: the bearer key.
    :param tls: the TLS context that verifies the certificates of the replicas, if any.
    """

    def __init__(
        self,
        *,
        replicas: Sequence[Address],
        key: bytes,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self.replicas = replicas
        self.authorization = f"Bearer {key.decode('latin-1')}"
        self.tls = tls

    async def configuration(self) -> Configuration:
        """Return the newest accepted configuration."""
        return decode_configuration(await self.call("GET", "/v1/configuration"))

    async def submit(self, change: Change) -> ChangeOutcome:
        """Submit a change and return its outcome."""
        body = await self.call("POST", "/v1/changes", encode_change(change))
        return decode_outcome(body)

    async def read(self, path: str, **parameters: str) -> Any:
        """Return the decoded JSON answer of a read."""
        query = f"?{urlencode(parameters)}" if parameters else ""
        return json.loads(await self.call("GET", path + query))

    async def audit(self, **parameters: str) -> list[ChangeOutcome]:
        """Return the matching entries of the audit trail, oldest first."""
        query = f"?{urlencode(parameters)}" if parameters else ""
        return decode_outcomes(await self.call("GET", f"/v1/audit{query}"))

    async def change_members(self, document: Mapping[str, object]) -> ChangeOutcome:
        """Add, remove or replace a replica and return the outcome."""
        body = json.dumps(document).encode()
        return decode_outcome(await self.call("POST", "/v1/members", body))

    async def call(self, method: str, target: str, body: bytes = b"") -> bytes:
        """Call the replicas in turn and return the body of the first successful answer.

        :raises OperatorKeyError: the key is wrong.
        :raises OperatorCallError: a replica refused the call.
        :raises NoQuorumError: the last replica reported that there is no majority.
        :raises PeerUnreachableError: the last replica does not answer, or none is
            configured.
        """
        last_error: ChervilstageError | None = None
        for replica in self.replicas:
            try:
                return await self.call_replica(replica, method, target, body)
            except (PeerUnreachableError, NoQuorumError) as error:
                last_error = error
            except OperatorCallError as error:
                if error.remote_code not in RETRYABLE_CODES:
                    raise
                last_error = error
        raise last_error or PeerUnreachableError(
            address="-", reason="no replica is configured"
        )

    async def call_replica(
        self, replica: Address, method: str, target: str, body: bytes
    ) -> bytes:
        """Call one replica and return the body of its answer."""
        answer = await http_request(
            replica,
            method,
            target,
            body=body,
            headers={"authorization": self.authorization},
            timeout_seconds=CALL_TIMEOUT_SECONDS,
            tls=self.tls,
        )
        return _check_response(answer)


def _check_response(answer: HttpResponse) -> bytes:
    """Return the body of a successful response; raise the reported error otherwise."""
    if answer.status == 200:
        return answer.body
    code = answer.headers.get("chervilstage-code", "")
    message = answer.body.decode(errors="replace").strip().removeprefix(f"{code} ")
    if code == OperatorKeyError.code:
        raise OperatorKeyError()
    if code == NoQuorumError.code:
        raise NoQuorumError(reason=message, revision="the one they have")
    raise OperatorCallError(status=answer.status, remote_code=code, message=message)
