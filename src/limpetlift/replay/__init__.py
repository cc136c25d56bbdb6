"""Replays a recorded trace through the decision modules on virtual time."""
