"""Tests of the ``kumquatwalk.quarantine`` package."""
