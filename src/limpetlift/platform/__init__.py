"""The adapter to the users' platform: its names, formats and calls.

Nothing here decides. What the platform says is decoded into the project's own
types, and what the project decides is said in the platform's format.
"""
