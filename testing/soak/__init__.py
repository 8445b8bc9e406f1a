"""A soak test of the real programs, as separate processes, under random faults."""
