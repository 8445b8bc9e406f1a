"""The records of non-idempotent requests, by their idempotency keys."""

from __future__ import annotations

from collections import OrderedDict
from enum import StrEnum
from typing import NamedTuple

from ..errors.requests import RecordsFullError

Headers = tuple[tuple[str, str], ...]


class RequestKey(NamedTuple):
    """A parsed idempotency key.

    ``stamp_ms`` is when the caller created it, in milliseconds since 1970; ``home`` is
    the data centre that the caller sent its first attempt to.
    """

    text: str
    stamp_ms: int
    home: str


class Answer(NamedTuple):
    """A complete answer of an upstream."""

    status: int
    headers: Headers
    body: bytes


class RecordPhase(StrEnum):
    """The progress of the request of a key.

    ``SENT`` means that the request may have run. It covers everything from the copying
    of the record to another entry, before the request is sent, to a lost answer.
    ``OPEN`` means that the request did not run, so that a retry may run it.
    """

    SENT = "sent"
    OPEN = "open"
    ANSWERED = "answered"


class RequestRecord(NamedTuple):
    """The stored state of the request of one key.

    ``epoch`` and ``version`` order the changes of a record; ``digest`` identifies
    the request, so that a key is not reused for another one. ``refused`` is the number
    of the newest attempt that was answered with the outcome *not run*.
    """

    key: RequestKey
    digest: bytes
    phase: RecordPhase
    epoch: int
    version: int
    answer: Answer | None = None
    refused: int = 0


class RecordTable:
    """The records of one entry, bounded in number and in age.

    ``acknowledged_by`` names the runs of entries that have acknowledged the current
    version of a record.

    :param limit: the maximum number of records.
    :param retention_ms: how long after its stamp a key is accepted.
    """

    def __init__(self, *, limit: int, retention_ms: int) -> None:
        self.limit = limit
        self.retention_ms = retention_ms
        self.records: OrderedDict[str, RequestRecord] = OrderedDict()
        self.acknowledged_by: dict[str, set[tuple[str, int]]] = {}

    def get(self, key: RequestKey) -> RequestRecord | None:
        """Return the record of a key."""
        return self.records.get(key.text)

    def put(self, record: RequestRecord) -> None:
        """Store the record of a key, which no entry has acknowledged yet.

        :raises RecordsFullError: the table has reached its limit.
        """
        text = record.key.text
        if text not in self.records and len(self.records) >= self.limit:
            raise RecordsFullError(limit=self.limit)
        self.records[text] = record
        self.acknowledged_by[text] = set()

    def expire(self, now_ms: int) -> int:
        """Remove the records older than twice the retention; return how many.

        Records are in order of arrival, not of stamp. The scan ends at the first one
        that has not expired, so an expired record behind it is removed later.
        """
        removed_count = 0
        while self.records:
            text, record = next(iter(self.records.items()))
            if now_ms - record.key.stamp_ms <= 2 * self.retention_ms:
                break
            del self.records[text]
            del self.acknowledged_by[text]
            removed_count += 1
        return removed_count
