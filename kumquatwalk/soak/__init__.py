"""Fault soak: real processes under overlapping faults from a seeded plan."""
