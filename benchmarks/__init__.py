"""Benchmarks of the running system and a simulation of it."""
