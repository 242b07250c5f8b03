"""Tests of the ``kumquatwalk.membership`` package."""
