"""Port to servers and backend servers, with HTTP and in-memory adapters."""
