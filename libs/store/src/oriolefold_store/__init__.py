"""Port to the platform's object store, with HTTP and in-memory adapters."""
