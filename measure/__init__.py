"""Benchmarks; `python -m measure` writes one JSON file per suite."""
