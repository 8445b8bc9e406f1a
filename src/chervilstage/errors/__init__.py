"""Typed errors with stable codes."""

from __future__ import annotations

from .base import ChervilstageError, error_types

__all__ = ["ChervilstageError", "error_types"]
