"""Tests of the ``kumquatwalk.metrics`` package."""
