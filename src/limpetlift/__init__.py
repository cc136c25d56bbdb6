"""Layer-4 load balancer for long flows and at-most-once requests."""

__version__ = "0.1.0"
