"""Tests of the ``kumquatwalk.platform`` package."""
