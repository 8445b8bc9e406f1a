"""Short soak runs of regression seeds."""

from __future__ import annotations

from pathlib import Path

import pytest

from .run import run_soak
from .seeds import CI_SEEDS

SECONDS = 12.0


@pytest.mark.parametrize("seed", CI_SEEDS)
def test_promises_hold_under_random_faults(seed: int, tmp_path: Path) -> None:
    """Guards against promises that break only under a combination of faults."""
    result = run_soak(seed, SECONDS, tmp_path)
    assert result.events
    assert not result.findings, result
