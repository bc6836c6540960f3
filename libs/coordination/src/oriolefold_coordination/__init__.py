"""Decisions about shards, key ranges, leases and placement, without I/O."""
