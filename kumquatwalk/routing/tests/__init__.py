"""Tests of the ``kumquatwalk.routing`` package."""
