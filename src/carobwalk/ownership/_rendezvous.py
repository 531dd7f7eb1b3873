"""Scores of rendezvous hashing."""

import xxhash


def rendezvous_score(subject: str, choice: str) -> int:
    """Return the score of a choice for a subject; the highest one wins."""
    return xxhash.xxh64_intdigest(f'{subject}/{choice}'.encode())
