"""The announcement that an upstream sends about itself."""

from __future__ import annotations

import json
from typing import Annotated, Literal

from pydantic import ConfigDict, Field, IPvAnyAddress, TypeAdapter, with_config
from typing_extensions import TypedDict

from ..errors.settings import DocumentError
from ..errors.upstreams import AnnouncementError
from ..state.types import Address, UpstreamId, UpstreamPhase, UpstreamRecord
from .documents import Name, Port
from .validation import validate_json

STRICT = ConfigDict(extra="forbid")


@with_config(STRICT)
class AnnouncementDocument(TypedDict):
    """The JSON body of an announcement.

    ``slots`` is the number of requests that the upstream can run at once, ``load`` the
    number that it reports as running.
    """

    service: Name
    data_centre: Name
    host: IPvAnyAddress
    port: Port
    request_port: Port
    incarnation: Annotated[int, Field(ge=0, lt=2**63)]
    sequence: Annotated[int, Field(ge=0, lt=2**63)]
    phase: Literal["ready", "leaving", "left"]
    slots: Annotated[int, Field(ge=1, le=10_000)]
    load: Annotated[int, Field(ge=0, le=65_535)]


ANNOUNCEMENT = TypeAdapter(AnnouncementDocument)


def decode_announcement(data: bytes) -> UpstreamRecord:
    """Decode an announcement.

    :raises AnnouncementError: the body is not a valid announcement.
    """
    try:
        body: AnnouncementDocument = validate_json(ANNOUNCEMENT, data, "announcement")
    except DocumentError as error:
        raise AnnouncementError(reason=error.problems) from error
    host = str(body["host"])
    return UpstreamRecord(
        identity=UpstreamId(
            address=Address(host=host, port=body["port"]),
            incarnation=body["incarnation"],
            service=body["service"],
        ),
        request_address=Address(host=host, port=body["request_port"]),
        data_centre=body["data_centre"],
        sequence=body["sequence"],
        phase=UpstreamPhase(body["phase"]),
        slots=body["slots"],
        load=body["load"],
    )


def encode_announcement(record: UpstreamRecord) -> bytes:
    """Return the JSON encoding of an announcement."""
    document = {
        "service": record.identity.service,
        "data_centre": record.data_centre,
        "host": record.identity.address.host,
        "port": record.identity.address.port,
        "request_port": record.request_address.port,
        "incarnation": record.identity.incarnation,
        "sequence": record.sequence,
        "phase": record.phase.value,
        "slots": record.slots,
        "load": record.load,
    }
    return json.dumps(document).encode()
