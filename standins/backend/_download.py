"""Response bodies of a configurable size."""

from collections.abc import Iterator

BLOCK_BYTES = 65_536


def download_block(key: str, mark: str) -> bytes:
    """Return the block that the body of a download repeats.

    Args:
        key: Key of the request.
        mark: Text unique to the request, which reveals a response that was
            delivered to another caller.
    """
    line = f'{key}|{mark}\n'.encode()
    return (line * (BLOCK_BYTES // len(line) + 1))[:BLOCK_BYTES]


def download_parts(key: str, mark: str, size: int) -> Iterator[bytes]:
    """Yield a body of ``size`` bytes in chunks of at most one block."""
    block = download_block(key, mark)
    for _ in range(size // BLOCK_BYTES):
        yield block
    if size % BLOCK_BYTES:
        yield block[: size % BLOCK_BYTES]
