"""Tests of the ``kumquatwalk.link`` package."""
