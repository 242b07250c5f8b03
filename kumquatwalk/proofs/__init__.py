"""Fault-injection tests: real processes whose histories are checked."""
