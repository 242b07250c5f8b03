"""Tests of the ``kumquatwalk.cli`` package."""
