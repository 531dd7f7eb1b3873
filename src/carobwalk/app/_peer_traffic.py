"""Counter of the bytes exchanged with peers."""

from carobwalk.metrics import Measurement, Metrics, ObservableInstrument
from carobwalk.peer import TrafficCounter


def register_peer_traffic(metrics: Metrics, traffic: TrafficCounter) -> None:
    """Register a counter of the bytes on peer connections.

    Args:
        metrics: Metrics of the process.
        traffic: Byte counts of the peer connections, read at each scrape.
    """
    metrics.register_observable(
        ObservableInstrument(
            name='peer',
            description='Bytes exchanged with other processes.',
            read=lambda: (
                Measurement(traffic.sent_bytes, {'direction': 'sent'}),
                Measurement(traffic.received_bytes, {'direction': 'received'}),
            ),
            unit='By',
            is_monotonic=True,
        ),
    )
