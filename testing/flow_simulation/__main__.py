"""Simulates flows from given or random seeds and reports broken open flows.

``python -m testing.flow_simulation [--seconds N] [SEED ...]`` runs the seeds, or random
ones for N seconds, prints the findings and exits with 1 if there are any.
"""

from __future__ import annotations

import argparse
import sys
import time
from collections.abc import Iterator
from random import SystemRandom

from .runner import format_result, run_seeds

RANDOM_SEED_LIMIT = 1 << 31


def _random_seeds(seconds: float) -> Iterator[int]:
    rng = SystemRandom()
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        yield rng.randrange(RANDOM_SEED_LIMIT)


def main() -> int:
    """Run the seeds given on the command line."""
    parser = argparse.ArgumentParser(prog="python -m testing.flow_simulation")
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("seeds", type=int, nargs="*")
    arguments = parser.parse_args()
    result = run_seeds(arguments.seeds or _random_seeds(arguments.seconds))
    print(format_result(result))
    return 1 if result.findings else 0


if __name__ == "__main__":
    sys.exit(main())
