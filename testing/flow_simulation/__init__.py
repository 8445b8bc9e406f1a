"""A seeded simulation of flows through several entries."""
