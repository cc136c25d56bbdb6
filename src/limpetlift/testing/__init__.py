"""Simulations and stand-ins for tests, the demo and measurements."""
