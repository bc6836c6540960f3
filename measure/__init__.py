"""Measurements; `python -m measure` writes one JSON file a suite."""
