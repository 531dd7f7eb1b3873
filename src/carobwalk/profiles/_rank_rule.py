"""Rule that gives a request its rank."""

from dataclasses import dataclass

from carobwalk.model import Rank


@dataclass(frozen=True, slots=True, kw_only=True)
class RankRule:
    """Rank of the requests that match a method and a path.

    Args:
        rank: Rank given.
        methods: HTTP methods that match; empty matches all.
        path_prefix: Start of the path below the service's name.
        idempotent: Whether a matching request may be run twice.
    """

    rank: Rank
    methods: tuple[str, ...] = ()
    path_prefix: str = '/'
    idempotent: bool = False
