"""Encoding of messages and documents."""
