"""Port to servers and back ends with HTTP and in-memory adapters."""
