"""Tests of the binary, the examples and the documentation."""
