"""Encoding of the request records that entries exchange."""

from __future__ import annotations

from testtools import TestCase

from chervilstage.coordination.record_ownership import RecordPush
from chervilstage.protocol.request_messages import decode_push, encode_push
from chervilstage.state.request_records import (
    Answer,
    RecordPhase,
    RequestKey,
    RequestRecord,
)


class RecordMessageTests(TestCase):
    """Encoding of request records that are pushed to another entry."""

    def test_push_round_trip_preserves_every_field(self) -> None:
        """Guards against a field that the encoding omits."""
        key = RequestKey(text="v1.5.gl-erie.a", stamp_ms=5, home="gl-erie")
        sent = RequestRecord(
            key=key,
            digest=b"digest",
            phase=RecordPhase.SENT,
            epoch=7,
            version=3,
            refused=2,
        )
        answer = Answer(status=200, headers=(("x", "y"),), body=b"booked")
        answered = sent._replace(phase=RecordPhase.ANSWERED, answer=answer, version=4)
        push = RecordPush(epoch=7, records=(sent, answered), last=True)
        self.assertEqual(push, decode_push(encode_push(push)))
