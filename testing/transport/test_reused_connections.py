"""Connections to upstreams that carry one request after another."""

from __future__ import annotations

import anyio
import pytest
from anyio.abc import SocketStream

from chervilstage.state.outcomes import Answered
from testing.support.raw_upstreams import (
    Answer,
    RawUpstream,
    make_requests,
    run_idempotent,
    whole,
)

LATE_SECONDS = 0.05
REQUESTS = 6


async def answer_first_twice(
    upstream: RawUpstream, stream: SocketStream, attempt: bytes, number: int
) -> None:
    """Send the answer before once more, after the next request has come."""
    if upstream.connections == 1 and number > 1:
        await stream.send(whole(f"answer {number - 1}"))
    await stream.send(whole(f"answer {number}"))


async def answer_first_late(
    upstream: RawUpstream, stream: SocketStream, attempt: bytes, number: int
) -> None:
    """Send a second copy of each answer at a moment drawn at random."""
    copy = whole(f"answer {number}")
    await stream.send(copy)
    await anyio.sleep(upstream.rng.uniform(0, LATE_SECONDS))
    await stream.send(copy)


async def name_only_the_first(
    upstream: RawUpstream, stream: SocketStream, attempt: bytes, number: int
) -> None:
    """Name the attempt of the first answer, then repeat it without a name."""
    if number == 1:
        await stream.send(whole("answer 1", attempt))
        return
    if upstream.connections == 1:
        await stream.send(whole("answer 1"))
    await stream.send(whole(f"answer {number}", attempt))


async def name_the_attempt_before(
    upstream: RawUpstream, stream: SocketStream, attempt: bytes, number: int
) -> None:
    """Send a whole copy of the answer before, with its name, then the right one."""
    if upstream.connections == 1 and number > 1:
        await stream.send(whole(f"answer {number - 1}", b"0123456789abcdef"))
    await stream.send(whole(f"answer {number}", attempt))


@pytest.mark.parametrize(
    "answer",
    [
        answer_first_twice,
        answer_first_late,
        name_only_the_first,
        name_the_attempt_before,
    ],
    ids=lambda answer: answer.__name__,
)
def test_a_second_copy_of_an_answer_reaches_no_later_caller(answer: Answer) -> None:
    """Guards against a caller that gets the answer to another caller's request."""

    async def main() -> None:
        upstream = RawUpstream(answer=answer)
        async with anyio.create_task_group() as group:
            requests = make_requests(await upstream.start(group))
            for _ in range(REQUESTS):
                asked = upstream.requests
                outcome = await run_idempotent(requests, "/free")
                if isinstance(outcome, Answered):
                    number = int(outcome.answer.body.removeprefix(b"answer "))
                    assert asked < number <= upstream.requests
                await anyio.sleep(upstream.rng.uniform(0, LATE_SECONDS))
            group.cancel_scope.cancel()

    anyio.run(main)


def test_connections_are_kept_where_answers_name_their_attempt() -> None:
    """Guards against a new connection for each request of an honest upstream."""

    async def answer(
        upstream: RawUpstream, stream: SocketStream, attempt: bytes, number: int
    ) -> None:
        await stream.send(whole(f"answer {number}", attempt))

    async def main() -> None:
        upstream = RawUpstream(answer=answer)
        async with anyio.create_task_group() as group:
            requests = make_requests(await upstream.start(group))
            for _ in range(REQUESTS):
                assert isinstance(await run_idempotent(requests, "/free"), Answered)
            assert upstream.connections == 1
            group.cancel_scope.cancel()

    anyio.run(main)


async def name_every_other(
    upstream: RawUpstream, stream: SocketStream, attempt: bytes, number: int
) -> None:
    """Name the attempts of odd answers only."""
    await stream.send(whole(f"answer {number}", attempt if number % 2 else None))


@pytest.mark.parametrize(
    "answer",
    [name_only_the_first, name_the_attempt_before, name_every_other],
    ids=lambda answer: answer.__name__,
)
def test_a_caller_beside_an_answer_of_another_attempt_gets_its_own(
    answer: Answer,
) -> None:
    """Guards against an error for a request that may be sent once more at once."""

    async def main() -> None:
        upstream = RawUpstream(answer=answer)
        async with anyio.create_task_group() as group:
            requests = make_requests(await upstream.start(group))
            for _ in range(REQUESTS):
                asked = upstream.requests
                outcome = await run_idempotent(requests, "/free")
                assert isinstance(outcome, Answered), outcome
                number = int(outcome.answer.body.removeprefix(b"answer "))
                assert asked < number == upstream.requests
            group.cancel_scope.cancel()

    anyio.run(main)


async def name_the_first_few(
    upstream: RawUpstream, stream: SocketStream, attempt: bytes, number: int
) -> None:
    """Name the first answers, slowly, and none after them."""
    await anyio.sleep(LATE_SECONDS)
    await stream.send(
        whole(f"answer {number}", attempt if number <= REQUESTS else None)
    )


def test_an_upstream_that_names_no_more_answers_is_asked_on_a_new_connection() -> None:
    """Guards against all attempts on kept connections, so that none is answered."""

    async def main() -> None:
        upstream = RawUpstream(answer=name_the_first_few)
        async with anyio.create_task_group() as group:
            requests = make_requests(await upstream.start(group))
            async with anyio.create_task_group() as together:
                for _ in range(REQUESTS):
                    together.start_soon(run_idempotent, requests, "/free")
            assert upstream.connections == REQUESTS
            assert isinstance(await run_idempotent(requests, "/free"), Answered)
            group.cancel_scope.cancel()

    anyio.run(main)
