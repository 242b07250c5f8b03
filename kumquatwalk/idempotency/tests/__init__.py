"""Tests of the ``kumquatwalk.idempotency`` package."""
