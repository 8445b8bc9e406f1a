"""Plays flows of given or fresh seeds and tells which open flows were broken.

``python -m testing.flow_simulation [--seconds N] [SEED ...]`` plays the seeds, or fresh
ones for N seconds, prints what was found and exits with 1 if anything was.
"""

from __future__ import annotations

import argparse
import sys
import time
from collections.abc import Iterator
from random import SystemRandom

from .play import describe, play_all

FRESH_SEEDS = 1 << 31


def _fresh_seeds(seconds: float) -> Iterator[int]:
    rng = SystemRandom()
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        yield rng.randrange(FRESH_SEEDS)


def main() -> int:
    """Play the seeds of the command line."""
    parser = argparse.ArgumentParser(prog="python -m testing.flow_simulation")
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("seeds", type=int, nargs="*")
    arguments = parser.parse_args()
    result = play_all(arguments.seeds or _fresh_seeds(arguments.seconds))
    print(describe(result))
    return 1 if result.findings else 0


if __name__ == "__main__":
    sys.exit(main())
