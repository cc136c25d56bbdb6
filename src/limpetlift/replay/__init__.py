"""Replay of recorded traces through the decision modules on virtual time."""
