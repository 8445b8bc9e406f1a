"""A layer-4 load balancer with its own durable state and membership."""
