"""Curl client with one treatment of failures."""
