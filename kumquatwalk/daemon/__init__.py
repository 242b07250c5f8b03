"""Daemon beside a target: both ends of each call, on one event loop."""
