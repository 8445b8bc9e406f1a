"""A layer-4 load balancer that keeps its own durable state and membership."""
