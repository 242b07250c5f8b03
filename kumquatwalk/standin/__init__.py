"""Simulated platform, targets and callers for tests and demos."""
