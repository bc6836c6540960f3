"""Sends requests to instances, with load balancing and admission control."""
