"""Sockets: datagrams, framed connections."""
