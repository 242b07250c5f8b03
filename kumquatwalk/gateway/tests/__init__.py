"""Tests of the ``kumquatwalk.gateway`` package."""
