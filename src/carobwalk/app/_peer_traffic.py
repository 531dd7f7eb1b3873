"""Counter of the bytes exchanged with peers."""

from carobwalk.metrics import Metrics, Reading, Watched
from carobwalk.peer import TrafficCounter


def register_peer_traffic(metrics: Metrics, traffic: TrafficCounter) -> None:
    """Register a counter of the bytes on peer connections.

    Args:
        metrics: Metrics of the process.
        traffic: Byte counts of the peer connections, read at each scrape.
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
