"""Sends requests to instances within their limits."""
