"""Timeouts and intervals of ownership, derived from the settings."""

from typing import Final

from carobwalk.ownership import OwnershipTimes
from carobwalk.settings import Settings

# Periods in heartbeat intervals. An election timeout below two intervals
# would depose a live coordinator whose next push is still in transit.
_ANSWER_TIMEOUT_HEARTBEATS: Final = 2.0
_ELECTION_TIMEOUT_HEARTBEATS: Final = 2.5
_ELECTION_STAGGER_HEARTBEATS: Final = 1.5
_LIVENESS_TIMEOUT_HEARTBEATS: Final = 3.5
_LIVENESS_QUERY_HEARTBEATS: Final = 0.5
_DECISION_INTERVAL_HEARTBEATS: Final = 0.25


def derive_times(settings: Settings) -> OwnershipTimes:
    """Return the timeouts and intervals of ownership.

    Args:
        settings: Validated settings.
    """
    ownership = settings.ownership
    heartbeat = ownership.heartbeat_seconds
    return OwnershipTimes(
        heartbeat=heartbeat,
        grant_ttl=ownership.grant_seconds,
        lease_ttl=ownership.lease_seconds,
        order_timeout=heartbeat * _ANSWER_TIMEOUT_HEARTBEATS,
        push_timeout=heartbeat * _ANSWER_TIMEOUT_HEARTBEATS,
        liveness_timeout=heartbeat * _LIVENESS_TIMEOUT_HEARTBEATS,
        election_timeout=heartbeat * _ELECTION_TIMEOUT_HEARTBEATS,
        election_stagger=heartbeat * _ELECTION_STAGGER_HEARTBEATS,
        liveness_query_timeout=heartbeat * _LIVENESS_QUERY_HEARTBEATS,
        decision_interval=heartbeat * _DECISION_INTERVAL_HEARTBEATS,
        store_timeout=settings.platform.timeout_seconds,
        host_list_interval=settings.platform.host_list_interval_seconds,
    )
