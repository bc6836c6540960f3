"""Sender: requests to instances within their concurrency limits."""
