"""Run the measurements and print one line per figure.

Each module in ``MODULES`` has a function ``measure`` that yields its figures.
"""

from __future__ import annotations

import sys
import time
from importlib import import_module

from .figures import format_figure

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
    """Run the modules named on the command line, or all of them."""
    for name in sys.argv[1:] or MODULES:
        started = time.monotonic()
        for figure in import_module(f"bench.{name}").measure():
            print(format_figure(figure), flush=True)
        print(f"# {name}: {time.monotonic() - started:.1f} s", file=sys.stderr)
    return 0


if __name__ == "__main__":
    sys.exit(main())
