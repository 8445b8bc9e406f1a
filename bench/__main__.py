"""Run the measurements and print one line a figure.

Each module of ``MODULES`` has a function ``measure`` that yields figures.
"""

from __future__ import annotations

import sys
import time
from importlib import import_module

from .figures import figure_line

MODULES: tuple[str, ...] = (
    "flows",
    "transport",
    "upstreams",
    "balance_requests",
    "requests",
    "configuration",
    "centre",
    "tokens",
    "links",
)


def main() -> int:
    """Run the named modules, or all of them."""
    for name in sys.argv[1:] or MODULES:
        started = time.monotonic()
        for figure in import_module(f"bench.{name}").measure():
            print(figure_line(figure), flush=True)
        print(f"# {name}: {time.monotonic() - started:.1f} s", file=sys.stderr)
    return 0


if __name__ == "__main__":
    sys.exit(main())
