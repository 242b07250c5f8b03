"""Proofs with real processes under faults."""
