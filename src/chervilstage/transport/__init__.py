"""Sockets, files and timers on one event loop."""
