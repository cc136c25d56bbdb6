"""Decisions about where new flows go, and when, under load."""
