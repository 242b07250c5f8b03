"""Tests of the ``kumquatwalk.node`` package."""
