"""Scores of rendezvous hashing."""

import xxhash


def rendezvous_score(subject: str, choice: str) -> int:
    """Return the rendezvous score of a choice; the highest score wins.

    Args:
        subject: Name of what is assigned, such as a shard or a group.
        choice: Name of a process or server that it may be assigned to.
    """
    return xxhash.xxh64_intdigest(f'{subject}/{choice}'.encode())
