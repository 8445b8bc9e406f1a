"""A simulation of requests through entries whose links carry little."""
