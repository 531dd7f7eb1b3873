"""Settings under which services run."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from carobwalk.model import ProfileName, Rank
from carobwalk.profiles._rank_rule import RankRule


def _default_shares() -> Mapping[Rank, float]:
    return {Rank.LOOKUP: 0.4, Rank.MONEY: 0.4, Rank.BULK: 0.2}


def _default_time_limits() -> Mapping[Rank, float]:
    return {Rank.LOOKUP: 2.0, Rank.MONEY: 10.0, Rank.BULK: 120.0}


def _default_rules() -> tuple[RankRule, ...]:
    reads = ('GET', 'HEAD')
    return (
        RankRule(rank=Rank.LOOKUP, methods=reads, idempotent=True),
        RankRule(rank=Rank.BULK, methods=('PUT',), idempotent=True),
        RankRule(rank=Rank.MONEY),
    )


@dataclass(frozen=True, slots=True, kw_only=True)
class Profile:
    """A resolved profile: every field has its value.

    Args:
        name: Name of the profile.
        keyed: Whether each key has one owning server.
        checks_grants: Whether its servers refuse orders with old tokens.
        key_segment: Index of the path segment after the service's name that
            holds the key, from 0.
        rank_rules: First match gives the rank of a request.
        shares: Guaranteed share of slots by rank; the sum is at most 1.
        time_limits: Longest time to answer by rank, in seconds.
        slots: Requests that one backend server runs at once.
        connections: Connections that one backend server takes.
        queue_bytes: Bytes of requests that may wait for one server.
        queue_length: Requests that may wait for one server.
        retry_ratio: Retries allowed for each success.
        drain_seconds: Longest time for requests in flight at a stop.
        dispatch_policy: Name in the registry of queue policies.
        limit_policy: Name in the registry of concurrency limits.
    """

    name: ProfileName
    keyed: bool = True
    checks_grants: bool = True
    key_segment: int = 1
    rank_rules: tuple[RankRule, ...] = field(default_factory=_default_rules)
    shares: Mapping[Rank, float] = field(default_factory=_default_shares)
    time_limits: Mapping[Rank, float] = field(
        default_factory=_default_time_limits,
    )
    slots: int = 4
    connections: int = 130
    queue_bytes: int = 8_388_608
    queue_length: int = 256
    retry_ratio: float = 0.1
    drain_seconds: float = 30.0
    dispatch_policy: str = 'guaranteed-shares'
    limit_policy: str = 'slots'
