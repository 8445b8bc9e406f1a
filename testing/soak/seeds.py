"""Seeds that once broke a promise; docs/notes/soak.md describes each of them."""

from __future__ import annotations

REGRESSIONS = (3, 4, 5, 7, 11, 12, 14, 15, 18, 19, 21, 24, 26)
# The tests have time for one short run; an entry crashed under the faults of this seed.
CI_SEEDS = (3,)
