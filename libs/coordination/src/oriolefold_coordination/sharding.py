"""Maps keys to shards by a stable hash."""

import xxhash


def shard_of(key: str, shard_count: int) -> int:
    """Returns the shard of a key, from 0 to `shard_count` - 1."""
    content = key.encode('utf-8', 'surrogateescape')
    return xxhash.xxh3_64_intdigest(content) % shard_count
