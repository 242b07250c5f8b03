"""Tests of the ``kumquatwalk.retry`` package."""
