"""Measurements of the running system."""
