"""Profile of settings that a service runs under."""

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
        keyed: Whether each key is owned by exactly one backend server.
        checks_grants: Whether the backend servers reject requests that carry
            an outdated fencing token.
        key_segment: Zero-based index of the path segment after the service's
            name that holds the key.
        rank_rules: Rules in order; the first match determines the rank of a
            request.
        shares: Guaranteed share of the slots by rank; the sum is at most 1.
        time_limits: Deadline for a response by rank, in seconds.
        slots: Concurrent requests per backend server.
        connections: Maximum connections per backend server.
        queue_bytes: Maximum total size in bytes of the requests queued for
            one backend server.
        queue_length: Maximum number of requests queued for one backend
            server.
        retry_ratio: Retry budget: retries allowed per successful request.
        drain_seconds: Time in seconds that requests in flight get to finish
            when a process stops.
        dispatch_policy: Registered name of the queueing policy.
        limit_policy: Registered name of the concurrency limit policy.
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
