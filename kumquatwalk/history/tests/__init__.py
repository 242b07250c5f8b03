"""Tests of the history."""
