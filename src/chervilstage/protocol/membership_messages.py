"""Encoding of heartbeats."""

from __future__ import annotations

from ..state.members import Heartbeat, MemberReport
from ..state.view import ViewId
from .schemas import pack, schema, unpack, wrap_decode_errors


def encode_heartbeat(heartbeat: Heartbeat) -> bytes:
    """Return the encoding of a heartbeat."""
    report = heartbeat.report
    return pack(
        schema("membership").Heartbeat.new_message(
            sentAt=heartbeat.sent_at,
            echo=heartbeat.echo,
            incarnation=report.incarnation,
            revision=report.revision,
            viewNumber=report.view_number,
            epoch=report.epoch,
            leaving=report.leaving,
            newestNumber=report.newest_view.number,
            newestCoordinator=report.newest_view.coordinator,
        )
    )


@wrap_decode_errors()
def decode_heartbeat(data: bytes) -> Heartbeat:
    """Decode a heartbeat.

    :raises EnvelopeFormatError: the bytes are not a valid heartbeat.
    """
    message = unpack(schema("membership").Heartbeat, data)
    return Heartbeat(
        sent_at=message.sentAt,
        echo=message.echo,
        report=MemberReport(
            incarnation=message.incarnation,
            revision=message.revision,
            view_number=message.viewNumber,
            epoch=message.epoch,
            leaving=message.leaving,
            newest_view=ViewId(
                number=message.newestNumber, coordinator=message.newestCoordinator
            ),
        ),
    )
