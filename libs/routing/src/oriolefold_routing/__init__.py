"""Routing, load balancing, admission, deadlines and retries, without I/O."""
