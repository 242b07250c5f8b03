"""Tests of the load tools."""
