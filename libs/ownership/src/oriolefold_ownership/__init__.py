"""Tasks that plan, lease and transfer the ownership of keyed shards."""
