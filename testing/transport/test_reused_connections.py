"""Connections to upstreams that are reused for several requests."""

from __future__ import annotations

import anyio
import pytest
from anyio.abc import SocketStream

from chervilstage.state.outcomes import Answered
from testing.support.raw_upstreams import (
    AnswerHandler,
    RawUpstream,
    make_response,
    make_service_requests,
    run_idempotent,
)

MAX_DELAY_SECONDS = 0.05
REQUESTS = 6


async def repeat_previous_answer(
    upstream: RawUpstream, stream: SocketStream, attempt: bytes, number: int
) -> None:
    """Send the previous answer again after the next request has arrived."""
    if upstream.connections == 1 and number > 1:
        await stream.send(make_response(f"answer {number - 1}"))
    await stream.send(make_response(f"answer {number}"))


async def repeat_answer_late(
    upstream: RawUpstream, stream: SocketStream, attempt: bytes, number: int
) -> None:
    """Send a second copy of each answer after a random delay."""
    copy = make_response(f"answer {number}")
    await stream.send(copy)
    await anyio.sleep(upstream.rng.uniform(0, MAX_DELAY_SECONDS))
    await stream.send(copy)


async def send_attempt_id_with_first_answer_only(
    upstream: RawUpstream, stream: SocketStream, attempt: bytes, number: int
) -> None:
    """Send the first answer with its attempt id, then repeat it without the id."""
    if number == 1:
        await stream.send(make_response("answer 1", attempt))
        return
    if upstream.connections == 1:
        await stream.send(make_response("answer 1"))
    await stream.send(make_response(f"answer {number}", attempt))


async def send_wrong_attempt_id_first(
    upstream: RawUpstream, stream: SocketStream, attempt: bytes, number: int
) -> None:
    """Send the previous answer with a wrong attempt id, then the right answer."""
    if upstream.connections == 1 and number > 1:
        await stream.send(make_response(f"answer {number - 1}", b"0123456789abcdef"))
    await stream.send(make_response(f"answer {number}", attempt))


@pytest.mark.parametrize(
    "answer",
    [
        repeat_previous_answer,
        repeat_answer_late,
        send_attempt_id_with_first_answer_only,
        send_wrong_attempt_id_first,
    ],
    ids=lambda answer: answer.__name__,
)
def test_a_duplicate_answer_reaches_no_later_caller(answer: AnswerHandler) -> None:
    """Guards against a caller that receives the answer to another caller's request."""

    async def main() -> None:
        upstream = RawUpstream(answer=answer)
        async with anyio.create_task_group() as group:
            requests = make_service_requests(await upstream.start(group))
            for _ in range(REQUESTS):
                requests_before = upstream.requests
                outcome = await run_idempotent(requests, "/free")
                if isinstance(outcome, Answered):
                    number = int(outcome.answer.body.removeprefix(b"answer "))
                    assert requests_before < number <= upstream.requests
                await anyio.sleep(upstream.rng.uniform(0, MAX_DELAY_SECONDS))
            group.cancel_scope.cancel()

    anyio.run(main)


def test_connections_are_reused_if_answers_carry_attempt_ids() -> None:
    """Guards against opening a connection per request to a correct upstream."""

    async def answer(
        upstream: RawUpstream, stream: SocketStream, attempt: bytes, number: int
    ) -> None:
        await stream.send(make_response(f"answer {number}", attempt))

    async def main() -> None:
        upstream = RawUpstream(answer=answer)
        async with anyio.create_task_group() as group:
            requests = make_service_requests(await upstream.start(group))
            for _ in range(REQUESTS):
                assert isinstance(await run_idempotent(requests, "/free"), Answered)
            assert upstream.connections == 1
            group.cancel_scope.cancel()

    anyio.run(main)


async def send_attempt_id_with_odd_answers(
    upstream: RawUpstream, stream: SocketStream, attempt: bytes, number: int
) -> None:
    """Send the attempt id with odd answers only."""
    await stream.send(
        make_response(f"answer {number}", attempt if number % 2 else None)
    )


@pytest.mark.parametrize(
    "answer",
    [
        send_attempt_id_with_first_answer_only,
        send_wrong_attempt_id_first,
        send_attempt_id_with_odd_answers,
    ],
    ids=lambda answer: answer.__name__,
)
def test_a_mismatched_answer_is_retried_until_the_caller_gets_its_own(
    answer: AnswerHandler,
) -> None:
    """Guards against an error for a request that may be retried immediately."""

    async def main() -> None:
        upstream = RawUpstream(answer=answer)
        async with anyio.create_task_group() as group:
            requests = make_service_requests(await upstream.start(group))
            for _ in range(REQUESTS):
                requests_before = upstream.requests
                outcome = await run_idempotent(requests, "/free")
                assert isinstance(outcome, Answered), outcome
                number = int(outcome.answer.body.removeprefix(b"answer "))
                assert requests_before < number == upstream.requests
            group.cancel_scope.cancel()

    anyio.run(main)


async def send_attempt_ids_with_first_answers(
    upstream: RawUpstream, stream: SocketStream, attempt: bytes, number: int
) -> None:
    """Send the first answers slowly and with attempt ids, later ones without."""
    await anyio.sleep(MAX_DELAY_SECONDS)
    await stream.send(
        make_response(f"answer {number}", attempt if number <= REQUESTS else None)
    )


def test_a_new_connection_is_used_when_attempt_ids_are_missing() -> None:
    """Guards against using up all attempts on pooled connections without an answer."""

    async def main() -> None:
        upstream = RawUpstream(answer=send_attempt_ids_with_first_answers)
        async with anyio.create_task_group() as group:
            requests = make_service_requests(await upstream.start(group))
            async with anyio.create_task_group() as concurrent_requests:
                for _ in range(REQUESTS):
                    concurrent_requests.start_soon(run_idempotent, requests, "/free")
            assert upstream.connections == REQUESTS
            assert isinstance(await run_idempotent(requests, "/free"), Answered)
            group.cancel_scope.cancel()

    anyio.run(main)
