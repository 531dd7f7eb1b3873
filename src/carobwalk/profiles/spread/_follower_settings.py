"""Timing of the spread of the configuration."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class FollowerSettings:
    """Periods and limits, in seconds.

    Args:
        exchange_seconds: Mean time between exchanges with a neighbour when
            nothing changes.
        ask_timeout: Longest wait for a peer.
        retry_seconds: Mean pause after a failure of a peer or the store.
        watch_seconds: Longest wait of one watch.
        sweep_rate: Reads per second by all processes together that look for
            a change which no watcher saw.
        join_seconds: Longest wait of a starting process for peers that know
            a higher revision than they hold.
        join_sample: Peers that a starting process asks at once.
    """

    exchange_seconds: float = 3
    ask_timeout: float = 1
    retry_seconds: float = 0.5
    watch_seconds: float = 10
    sweep_rate: float = 4
    join_seconds: float = 2.5
    join_sample: int = 16
