"""Tests of the ``kumquatwalk.logs`` package."""
