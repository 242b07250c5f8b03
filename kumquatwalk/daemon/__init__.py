"""Daemon beside a target: caller side and target side on one event loop."""
