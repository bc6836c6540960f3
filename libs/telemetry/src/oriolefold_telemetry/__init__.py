"""Structured logging and metrics."""
