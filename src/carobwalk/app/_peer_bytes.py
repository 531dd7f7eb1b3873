"""Metric of the bytes between processes."""

from carobwalk.metrics import Metrics, Reading, Watched
from carobwalk.peer import Traffic


def watch_peer_bytes(metrics: Metrics, traffic: Traffic) -> None:
    """Show the bytes of peer connections at each scrape.

    Args:
        metrics: Counts and times of the process.
        traffic: Bytes that peer connections carried.
    """
    metrics.watch(
        Watched(
            name='peer',
            description='Bytes exchanged with other processes.',
            read=lambda: (
                Reading(traffic.sent_bytes, {'direction': 'sent'}),
                Reading(traffic.received_bytes, {'direction': 'received'}),
            ),
            unit='By',
            is_rising=True,
        ),
    )
