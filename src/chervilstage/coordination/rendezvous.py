"""Rendezvous hashing, which orders candidates for a key alike on every entry."""

from __future__ import annotations

from collections.abc import Iterable

import xxhash


def rendezvous_order(key: str, candidates: Iterable[str]) -> list[str]:
    """Return the candidates in descending order of the hash of candidate and key."""
    return sorted(candidates, key=lambda c: _weight(key, c), reverse=True)


def _weight(key: str, candidate: str) -> tuple[int, str]:
    return (xxhash.xxh3_64_intdigest(f"{candidate}|{key}".encode()), candidate)
