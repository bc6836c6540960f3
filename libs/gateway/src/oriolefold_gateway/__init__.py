"""Request path from a caller to the owner of a key."""
