"""Measurements of the processes against their baselines and limits."""
