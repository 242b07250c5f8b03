"""Tests of the ``kumquatwalk.standin`` package."""
