"""A seeded simulation of requests through entries with low-capacity links."""
