"""Adapter to the users' platform; it only translates and holds no state."""
