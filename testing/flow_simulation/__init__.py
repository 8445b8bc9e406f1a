"""A simulation of flows through several entries, played from seeds."""
