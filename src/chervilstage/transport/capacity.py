"""Permits for attempts at upstreams, within the limits of this entry."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from random import Random

import anyio

from ..coordination.flows import in_service
from ..coordination.selection import choose_upstream
from ..state.capacity import AttemptResult, Permit
from ..state.configuration import Configuration
from ..state.registry import UpstreamRegistry
from ..state.types import Address


class UpstreamCapacity:
    """Grants permits for attempts and takes them back with their results.

    :param configuration: returns the configuration in force.
    """

    def __init__(
        self,
        *,
        registry: UpstreamRegistry,
        configuration: Callable[[], Configuration],
        rng: Random,
    ) -> None:
        self.registry = registry
        self.configuration = configuration
        self.rng = rng
        self.in_flight: Counter[Address] = Counter()

    async def acquire(
        self, *, service: str, excluded: frozenset[Address], deadline: float
    ) -> Permit:
        """Wait for a permit for one attempt.

        :param excluded: upstreams that this request has been refused by.
        :param deadline: monotonic seconds until which to wait.
        :raises NoUpstreamError: no upstream can take the attempt in time.
        """
        records = self.registry.of_service(service)
        chosen = choose_upstream(
            service=service,
            records=in_service(records, self.configuration()),
            in_flight=self.in_flight,
            excluded=excluded,
            rng=self.rng,
        )
        self.in_flight[chosen.identity.address] += 1
        return Permit(upstream=chosen, granted_at=anyio.current_time())

    def release(self, *, permit: Permit, result: AttemptResult, seconds: float) -> None:
        """Give a permit back.

        :param seconds: how long the attempt took.
        """
        self.in_flight[permit.upstream.identity.address] -= 1
