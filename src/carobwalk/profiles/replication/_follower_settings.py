"""Timing of configuration replication."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class FollowerSettings:
    """Intervals, timeouts and rates of replication.

    Args:
        exchange_seconds: Mean interval in seconds between exchanges with a
            neighbour while nothing changes.
        ask_timeout: Timeout in seconds of a request to a peer.
        retry_seconds: Mean delay in seconds after a failure of a peer or the
            store.
        watch_seconds: Duration in seconds of one long poll of the store.
        sweep_rate: Polls of the store per second, summed over all processes,
            that detect changes that no watcher reported.
        join_seconds: Time in seconds that a starting process waits for the
            highest revision its peers know of, before it accepts a lower
            one.
        join_sample: Number of peers that a starting process queries at once.
    """

    exchange_seconds: float = 3
    ask_timeout: float = 1
    retry_seconds: float = 0.5
    watch_seconds: float = 10
    sweep_rate: float = 4
    join_seconds: float = 2.5
    join_sample: int = 16
