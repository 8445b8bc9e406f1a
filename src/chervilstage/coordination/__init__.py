"""Decisions without I/O, clock or encoding."""
