"""Admission at a target: concurrency limit, queue and admission level."""
