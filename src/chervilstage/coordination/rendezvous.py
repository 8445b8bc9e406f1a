"""Rendezvous hashing: the same order of candidates for a key on every entry."""

from __future__ import annotations

from collections.abc import Iterable

import xxhash


def rendezvous_order(key: str, candidates: Iterable[str]) -> list[str]:
    """Return the candidates, highest hash of (candidate, key) first."""
    return sorted(candidates, key=lambda c: _weight(key, c), reverse=True)


def _weight(key: str, candidate: str) -> tuple[int, str]:
    return (xxhash.xxh3_64_intdigest(f"{candidate}|{key}".encode()), candidate)
