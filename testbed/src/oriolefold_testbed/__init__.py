"""Test doubles of the platform, and helpers for tests and measurements.

The test doubles are called stand-ins. This package is for development only and
is not part of a release.
"""
