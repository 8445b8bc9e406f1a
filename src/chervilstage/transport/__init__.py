"""Network, file and timer I/O on one event loop."""
