"""Metrics of one process."""

from functools import partial
from typing import Final

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.resources import Resource
from prometheus_client import CollectorRegistry, generate_latest

from carobwalk._version import VERSION
from carobwalk.metrics._instruments import (
    EVENTS,
    MOVED_SHARDS,
    QUARANTINES,
    RETRIES,
    SECONDS,
    STORE_CALLS,
    UNAVAILABLE,
    create_tallies,
    observe_process,
)
from carobwalk.metrics._watched import Watched
from carobwalk.model import Outcome, Rank, ServiceName

LATENCY_BOUNDS: Final = (
    0.001,
    0.0025,
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
    10.0,
    30.0,
    120.0,
)

_PREFIX: Final = 'carobwalk'


class Metrics:
    """Counts and times of a process; no method waits.

    Args:
        process: Id of the process, shown on the resource.
    """

    def __init__(self, process: str) -> None:
        self._registry = CollectorRegistry(auto_describe=False)
        reader = PrometheusMetricReader(
            prefix=_PREFIX,
            scope_info_enabled=False,
            registry=self._registry,
        )
        provider = MeterProvider(
            metric_readers=[reader],
            resource=Resource(
                {
                    'service.name': _PREFIX,
                    'service.version': VERSION,
                    'service.instance.id': process,
                },
            ),
            shutdown_on_exit=False,
        )
        self._meter = provider.get_meter(_PREFIX)
        self.latencies = self._meter.create_histogram(
            'request.duration',
            unit=SECONDS,
            description='Time from the head of a request to its end.',
            explicit_bucket_boundaries_advisory=LATENCY_BOUNDS,
        )
        self.tallies = create_tallies(self._meter)
        observe_process(self._meter)

    def record_request(
        self,
        service: ServiceName,
        rank: Rank,
        outcome: Outcome,
        seconds: float,
    ) -> None:
        """Count a request that ended, by its outcome.

        Args:
            service: A service of the configuration, no caller's invention.
            rank: Rank of the request.
            outcome: Outcome that the caller was told.
            seconds: Time from the head of the request to its end.
        """
        labels = {'service': service, 'rank': rank, 'outcome': outcome}
        self.latencies.record(seconds, labels)

    def record_retry(self, service: ServiceName) -> None:
        """Count a request that was sent to a backend server again."""
        self.tallies[RETRIES].add(1, service)

    def record_quarantine(self, service: ServiceName) -> None:
        """Count a request that was put into quarantine."""
        self.tallies[QUARANTINES].add(1, service)

    def record_store_call(self, operation: str, result: str) -> None:
        """Count a call of the platform's key-value service.

        Args:
            operation: Kind of call, such as ``read``, ``write`` or ``watch``.
            result: Kind of answer, such as ``ok`` or ``conflict``.
        """
        self.tallies[STORE_CALLS].add(1, operation, result)

    def record_moved_shards(self, service: ServiceName, count: int) -> None:
        """Count shards that were given to another backend server."""
        self.tallies[MOVED_SHARDS].add(count, service)

    def record_unavailable(self, service: ServiceName, seconds: float) -> None:
        """Add shard-seconds during which no server owned a shard."""
        self.tallies[UNAVAILABLE].add(seconds, service)

    def record_event(self, name: str) -> None:
        """Count an event by its name."""
        self.tallies[EVENTS].add(1, name)

    def watch(self, watched: Watched) -> None:
        """Read values that another part keeps at each scrape."""
        create = (
            self._meter.create_observable_counter
            if watched.is_rising
            else self._meter.create_observable_gauge
        )
        create(
            watched.name,
            callbacks=[partial(_observe, watched)],
            unit=watched.unit,
            description=watched.description,
        )

    def render(self) -> bytes:
        """Return all metrics in Prometheus' text format."""
        return generate_latest(self._registry)


def _observe(
    watched: Watched,
    options: CallbackOptions,
) -> list[Observation]:
    return [
        Observation(reading.value, dict(reading.labels))
        for reading in watched.read()
    ]
