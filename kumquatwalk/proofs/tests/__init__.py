"""Fault-injection tests with real processes."""
