"""Simulation of a fleet in virtual time, to compare overload controls."""
