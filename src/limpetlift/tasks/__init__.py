"""Asynchronous tasks that own sockets and state."""
