"""Pure decisions about shards, leases, membership and placement."""
