"""Sockets, event loop, framed TCP connections and HTTP."""
