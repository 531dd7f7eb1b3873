"""Times of ownership that follow from the settings."""

from typing import Final

from carobwalk.ownership import OwnershipTimes
from carobwalk.settings import Settings

# Periods in heartbeats. Silence of less than two would depose a coordinator
# whose next push is merely on its way.
_ANSWER_HEARTBEATS: Final = 2.0
_SILENCE_HEARTBEATS: Final = 2.5
_STAGGER_HEARTBEATS: Final = 1.5
_FRESH_HEARTBEATS: Final = 3.5
_WITNESS_HEARTBEATS: Final = 0.5
_DECISION_HEARTBEATS: Final = 0.25


def derive_times(settings: Settings) -> OwnershipTimes:
    """Return the time limits of ownership.

    Args:
        settings: Validated settings.
    """
    ownership = settings.ownership
    heartbeat = ownership.heartbeat_seconds
    return OwnershipTimes(
        heartbeat=heartbeat,
        grant_ttl=ownership.grant_seconds,
        lease_ttl=ownership.lease_seconds,
        order_timeout=heartbeat * _ANSWER_HEARTBEATS,
        push_timeout=heartbeat * _ANSWER_HEARTBEATS,
        liveness_timeout=heartbeat * _FRESH_HEARTBEATS,
        election_timeout=heartbeat * _SILENCE_HEARTBEATS,
        election_stagger=heartbeat * _STAGGER_HEARTBEATS,
        liveness_query_timeout=heartbeat * _WITNESS_HEARTBEATS,
        decision_interval=heartbeat * _DECISION_HEARTBEATS,
        store_timeout=settings.platform.timeout_seconds,
        host_list_interval=settings.platform.host_list_interval_seconds,
    )
