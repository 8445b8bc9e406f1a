"""The JSON answer of a stand-in to a request, as the load tool reads it."""

from __future__ import annotations

from pydantic import TypeAdapter
from typing_extensions import TypedDict

from ..coordination.load_checks import RequestAnswer, RequestContent, RequestIdentity
from ..state.load_packets import UpstreamName
from .validation import validate_json


class AnswerDocument(TypedDict):
    """The fields of an answer that are checked; ``run`` counts the runs of the key."""

    service: str
    address: str
    incarnation: int
    data_centre: str
    method: str
    target: str
    key: str
    run: int
    request: str
    bytes: int
    sha256: str
    padding: str


ANSWER = TypeAdapter(AnswerDocument)


def decode_request_answer(data: bytes) -> RequestAnswer:
    """Decode the answer of a stand-in.

    :raises DocumentError: the data is not a complete answer.
    """
    document: AnswerDocument = validate_json(ANSWER, data, "answer")
    return RequestAnswer(
        upstream=UpstreamName(
            service=document["service"],
            address=document["address"],
            incarnation=document["incarnation"],
            data_centre=document["data_centre"],
        ),
        identity=RequestIdentity(
            method=document["method"],
            target=document["target"],
            key=document["key"],
            request=document["request"],
        ),
        content=RequestContent(
            body_bytes=document["bytes"],
            body_hash=document["sha256"],
            answer_bytes=len(document["padding"]),
        ),
        run=document["run"],
    )
