"""Processes and their tasks, which own the sockets and the state."""
