"""Tests of the ``kumquatwalk.catalogue`` package."""
