"""Hypothesis profiles; the CI profile is derandomised, so that runs repeat exactly."""

from __future__ import annotations

import os

from hypothesis import HealthCheck, settings

settings.register_profile(
    "ci",
    derandomize=True,
    deadline=None,
    max_examples=60,
    suppress_health_check=list(HealthCheck),
)
settings.register_profile("long", parent=settings.get_profile("ci"), max_examples=2000)
settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "ci"))
