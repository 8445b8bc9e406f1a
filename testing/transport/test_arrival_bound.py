"""The bound on how long a datagram may have waited before it was read."""

from __future__ import annotations

import pytest

from chervilstage.transport.arrival_bound import ArrivalBound

BUFFER_BYTES = 10_000


def make_drained_bound(now: float) -> ArrivalBound:
    """Return the bound of a socket that is known to be empty."""
    bound = ArrivalBound(now=now - 1.0, buffer_bytes=BUFFER_BYTES)
    bound.record_drained(now)
    return bound


def test_data_read_by_a_loop_on_time_has_not_waited() -> None:
    """Guards against new packets that count as old on an entry that is not busy."""
    bound = make_drained_bound(10.0)
    for tick in range(1, 50):
        bound.record_timer(10.0 + 0.2 * tick, 10.0 + 0.2 * tick)
    assert bound.record_read(100, 19.9) == 0.0


def test_first_data_after_a_stall_may_have_waited_since_its_start() -> None:
    """Guards against old packets that count as new when read before the timer runs."""
    bound = make_drained_bound(10.0)
    assert bound.record_read(100, 13.0) == pytest.approx(3.0)


def test_rest_of_a_backlog_keeps_its_age_when_the_timer_runs_again() -> None:
    """Guards against old packets that count as new behind the first batch of many."""
    bound = make_drained_bound(10.0)
    bound.record_timer(10.2, 13.0)
    assert bound.record_read(100, 13.1) == pytest.approx(3.1)
    bound.record_timer(13.2, 13.2)
    assert bound.record_read(100, 13.3) == pytest.approx(3.3)
    bound.record_drained(13.4)
    assert bound.record_read(100, 13.5) == 0.0


def test_at_most_the_socket_buffer_has_waited_during_a_stall() -> None:
    """Guards against an entry that drops opening packets all the time while busy."""
    bound = make_drained_bound(10.0)
    waited = [bound.record_read(BUFFER_BYTES // 2, 13.0) for _ in range(3)]
    assert waited == [pytest.approx(3.0), pytest.approx(3.0), 0.0]


def test_data_that_waits_during_the_start_may_be_as_old_as_the_socket() -> None:
    """Guards against stale packets that were sent before the entry had started."""
    bound = ArrivalBound(now=10.0, buffer_bytes=BUFFER_BYTES)
    assert bound.record_read(100, 11.6) == pytest.approx(1.6)
