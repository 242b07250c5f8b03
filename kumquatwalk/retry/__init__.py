"""Bounds on retries: tokens of one request and a ratio over a node."""
