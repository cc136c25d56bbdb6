"""Coordination of processes: placement, membership, store, configuration."""
