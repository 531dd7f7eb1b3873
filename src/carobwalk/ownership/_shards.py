"""Hashing of keys to shards."""

import xxhash

from carobwalk.model import Key, ShardNumber


def shard_of(key: Key, shard_count: int) -> ShardNumber:
    """Return the shard of a key.

    Args:
        key: Key of a request.
        shard_count: Number of shards of the service, which never changes.
    """
    digest = xxhash.xxh64_intdigest(key.encode('utf-8', 'surrogatepass'))
    return ShardNumber(digest % shard_count)
