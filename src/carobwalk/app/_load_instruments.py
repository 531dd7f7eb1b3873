"""Observable instruments of the load that all processes observe."""

import math
from collections.abc import Iterable

from carobwalk.gateway import SampledChoice, SharedLoad
from carobwalk.keyspace import FleetLoad
from carobwalk.metrics import Measurement, Metrics, ObservableInstrument


def register_load_digest(
    metrics: Metrics, shared: SharedLoad, sampled: SampledChoice
) -> None:
    """Register the age and the size of the digest, and the choices by it."""
    metrics.register_observable(
        ObservableInstrument(
            name='load_digest.age',
            description='Age of the last digest of the load of servers.',
            read=lambda: _finite(shared.age),
            unit='s',
        ),
    )
    metrics.register_observable(
        ObservableInstrument(
            name='load_digest.servers',
            description='Backend servers in the last digest.',
            read=lambda: (Measurement(shared.server_count),),
        ),
    )
    metrics.register_observable(
        ObservableInstrument(
            name='load_digest.choices',
            description='Servers that were chosen by a digest.',
            read=lambda: (Measurement(sampled.choices),),
            is_monotonic=True,
        ),
    )


def register_fleet_load(metrics: Metrics, fleet: FleetLoad) -> None:
    """Register the estimates; they have values at the coordinator only."""
    metrics.register_observable(
        ObservableInstrument(
            name='backend.service_time',
            description='Estimated time of a request without queueing.',
            read=lambda: [
                Measurement(
                    estimate.seconds,
                    {'service': service, 'server': incarnation.server},
                )
                for service, incarnation, estimate in fleet.estimates()
            ],
            unit='s',
        ),
    )
    metrics.register_observable(
        ObservableInstrument(
            name='backend.in_flight',
            description='Requests of all processes at a backend server.',
            read=lambda: [
                Measurement(
                    estimate.in_flight,
                    {'service': service, 'server': incarnation.server},
                )
                for service, incarnation, estimate in fleet.estimates()
            ],
        ),
    )


def _finite(age: float) -> Iterable[Measurement]:
    """Return no value while there has been no digest."""
    return () if math.isinf(age) else (Measurement(age),)
