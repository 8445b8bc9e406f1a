"""Runs the soak with given seeds and reports which promises were broken.

``python -m testing.soak [--seconds N] [SEED ...]`` runs once per seed, by default
with all regression seeds, and exits with 1 if any run broke a promise. The logs of
such runs stay in the printed folder.
"""

from __future__ import annotations

import argparse
import shutil
import sys
import tempfile
from pathlib import Path

from .run import DEFAULT_SECONDS, run_soak
from .seeds import REGRESSIONS


def main() -> int:
    """Run the seeds given on the command line."""
    parser = argparse.ArgumentParser(prog="python -m testing.soak")
    parser.add_argument("--seconds", type=float, default=DEFAULT_SECONDS)
    parser.add_argument("seeds", type=int, nargs="*")
    arguments = parser.parse_args()
    broken = 0
    seeds = arguments.seeds or REGRESSIONS
    for seed in seeds:
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        result = run_soak(seed, arguments.seconds, folder)
        kinds = " ".join(sorted({event.kind.value for event in result.events}))
        if result.findings:
            broken += 1
            print(f"seed={seed} broken folder={folder} acts={kinds}")
            for finding in result.findings:
                print(f"  {finding}", flush=True)
        else:
            shutil.rmtree(folder)
            print(f"seed={seed} kept acts={kinds}", flush=True)
    print(f"{len(seeds) - broken} kept, {broken} broken")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
