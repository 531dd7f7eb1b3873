"""Observable instruments of the records that a process reads."""

from carobwalk.metrics import Measurement, Metrics, ObservableInstrument
from carobwalk.relay import RecordRelay


def register_record_age(metrics: Metrics, relay: RecordRelay) -> None:
    """Register the age of the records and whether this process relays them.

    Args:
        metrics: Metrics of the process.
        relay: Follows the records and relays them.
    """
    metrics.register_observable(
        ObservableInstrument(
            name='records.age',
            description='Age of the last proof that the records are current.',
            read=lambda: (
                Measurement(relay.follower.seconds_since_contact, {}),
            ),
            unit='s',
        ),
    )
    metrics.register_observable(
        ObservableInstrument(
            name='records.relaying',
            description='1 while this process relays records, 0 otherwise.',
            read=lambda: (Measurement(int(relay.role.is_fresh), {}),),
        ),
    )
