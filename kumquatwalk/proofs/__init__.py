"""Proofs under failure: real processes, recorded histories and checkers."""
