"""Tests of the ``kumquatwalk.admission`` package."""
