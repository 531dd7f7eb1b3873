"""Rule that assigns a rank to requests."""

from dataclasses import dataclass

from carobwalk.model import Rank


@dataclass(frozen=True, slots=True, kw_only=True)
class RankRule:
    """Assigns a rank to requests by method and path prefix.

    Args:
        rank: Rank of matching requests.
        methods: HTTP methods that match; empty matches every method.
        path_prefix: Prefix of the path after the service's name.
        idempotent: Whether matching requests may be executed more than once.
    """

    rank: Rank
    methods: tuple[str, ...] = ()
    path_prefix: str = '/'
    idempotent: bool = False
