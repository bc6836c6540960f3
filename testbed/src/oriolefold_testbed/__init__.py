"""Stand-ins for the platform, and helpers for tests and measurements.

Nothing of this is shipped.
"""
