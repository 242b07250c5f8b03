"""Model of a large fleet: what nodes know of each other, in virtual time."""
