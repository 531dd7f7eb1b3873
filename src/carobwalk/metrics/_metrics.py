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
    UNAVAILABLE_SHARD_SECONDS,
    create_counters,
    register_process_instruments,
)
from carobwalk.metrics._observable_instrument import ObservableInstrument
from carobwalk.model import Outcome, Rank, ServiceName

DURATION_BUCKETS_SECONDS: Final = (
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
    """Metrics of a process; no method blocks.

    Args:
        process: Id of the process, reported as the service instance.
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
        self.request_durations = self._meter.create_histogram(
            'request.duration',
            unit=SECONDS,
            description='Time from the head of a request to its end.',
            explicit_bucket_boundaries_advisory=DURATION_BUCKETS_SECONDS,
        )
        self.counters = create_counters(self._meter)
        register_process_instruments(self._meter)

    def record_request(
        self,
        service: ServiceName,
        rank: Rank,
        outcome: Outcome,
        seconds: float,
    ) -> None:
        """Record the duration of a request that ended.

        Args:
            service: Service of the configuration, never a name that only a
                caller sent.
            rank: Rank of the request.
            outcome: Outcome reported to the caller.
            seconds: Time from the head of the request to its end.
        """
        labels = {'service': service, 'rank': rank, 'outcome': outcome}
        self.request_durations.record(seconds, labels)

    def record_retry(self, service: ServiceName) -> None:
        """Count a request that was sent to a backend server again."""
        self.counters[RETRIES].add(1, service)

    def record_quarantine(self, service: ServiceName) -> None:
        """Count a request that was put into quarantine."""
        self.counters[QUARANTINES].add(1, service)

    def record_store_call(self, operation: str, result: str) -> None:
        """Count a call of the key-value service.

        Args:
            operation: Kind of call, such as ``read``, ``write`` or ``watch``.
            result: Kind of result, such as ``ok`` or ``conflict``.
        """
        self.counters[STORE_CALLS].add(1, operation, result)

    def record_moved_shards(self, service: ServiceName, count: int) -> None:
        """Count shards that were given to another backend server."""
        self.counters[MOVED_SHARDS].add(count, service)

    def record_unavailable_seconds(
        self, service: ServiceName, seconds: float
    ) -> None:
        """Add shard-seconds without an owner."""
        self.counters[UNAVAILABLE_SHARD_SECONDS].add(seconds, service)

    def record_event(self, name: str) -> None:
        """Count an event by its name."""
        self.counters[EVENTS].add(1, name)

    def register_observable(self, instrument: ObservableInstrument) -> None:
        """Register an instrument that is read at each scrape."""
        create_instrument = (
            self._meter.create_observable_counter
            if instrument.is_monotonic
            else self._meter.create_observable_gauge
        )
        create_instrument(
            instrument.name,
            callbacks=[partial(_observe, instrument)],
            unit=instrument.unit,
            description=instrument.description,
        )

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self._registry)


def _observe(
    instrument: ObservableInstrument,
    options: CallbackOptions,
) -> list[Observation]:
    return [
        Observation(measurement.value, dict(measurement.labels))
        for measurement in instrument.read()
    ]
