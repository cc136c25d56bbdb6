"""Adapter to the platform that limpetlift runs on.

It holds the names, wire formats and HTTP calls of the platform and no
forwarding logic: input of the platform is decoded into the project's own
types, and output is encoded in the formats of the platform.
"""
