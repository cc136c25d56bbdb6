"""Measurements of the processes on loopback, with baselines and limits."""
