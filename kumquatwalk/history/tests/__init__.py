"""Tests of the ``kumquatwalk.history`` package."""
