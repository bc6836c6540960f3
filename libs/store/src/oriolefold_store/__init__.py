"""Port to the platform object store with HTTP and in-memory adapters."""
