"""Instruments of every process."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Final

from opentelemetry.metrics import CallbackOptions, Meter, Observation

from carobwalk.metrics._labelled_counter import LabelledCounter
from carobwalk.metrics._process_usage import cpu_seconds, resident_bytes

SECONDS: Final = 's'
BYTES: Final = 'By'


@dataclass(frozen=True, slots=True)
class CounterSpec:
    """Specification of a ``LabelledCounter``.

    Args:
        name: Name without the common prefix.
        unit: UCUM unit; empty for a count.
        description: What is counted.
        labels: Names of the labels.
    """

    name: str
    unit: str
    description: str
    labels: tuple[str, ...]


RETRIES: Final = CounterSpec(
    'retries',
    '',
    'Requests that were sent to a backend server again.',
    ('service',),
)
REFUSALS: Final = CounterSpec(
    'refusals',
    '',
    'Requests that have not run, by the cause that callers are told.',
    ('service', 'cause', 'rank'),
)
PIPELINED: Final = CounterSpec(
    'pipelined',
    '',
    'Requests read before those ahead on their connection were answered.',
    ('outcome',),
)
QUARANTINES: Final = CounterSpec(
    'quarantines',
    '',
    'Requests that were put into quarantine.',
    ('service',),
)
STORE_CALLS: Final = CounterSpec(
    'store.calls',
    '',
    'Calls of the key-value service.',
    ('operation', 'result'),
)
EVENTS: Final = CounterSpec(
    'events',
    '',
    'Events by name, written or not.',
    ('event',),
)
MOVED_SHARDS: Final = CounterSpec(
    'shards.moved',
    '',
    'Shards that were given to another backend server.',
    ('service',),
)
UNAVAILABLE_SHARD_SECONDS: Final = CounterSpec(
    'shards.unavailable',
    SECONDS,
    'Shard-seconds during which no backend server owned a shard.',
    ('service',),
)

_SPECS: Final = (
    RETRIES,
    REFUSALS,
    PIPELINED,
    QUARANTINES,
    STORE_CALLS,
    EVENTS,
    MOVED_SHARDS,
    UNAVAILABLE_SHARD_SECONDS,
)


def create_counters(meter: Meter) -> Mapping[CounterSpec, LabelledCounter]:
    """Create a counter for each specification and register it with a meter."""
    counters_by_spec = {spec: LabelledCounter(*spec.labels) for spec in _SPECS}
    for spec, counter in counters_by_spec.items():
        meter.create_observable_counter(
            spec.name,
            callbacks=[counter.observe],
            unit=spec.unit,
            description=spec.description,
        )
    return counters_by_spec


def register_process_instruments(meter: Meter) -> None:
    """Register instruments of the processor time and memory in use."""
    meter.create_observable_counter(
        'process.cpu',
        callbacks=[_observe_cpu],
        unit=SECONDS,
        description='Processor time of the process.',
    )
    meter.create_observable_gauge(
        'process.resident',
        callbacks=[_observe_resident],
        unit=BYTES,
        description='Resident memory of the process.',
    )


def _observe_cpu(options: CallbackOptions) -> Iterable[Observation]:
    return [Observation(cpu_seconds())]


def _observe_resident(options: CallbackOptions) -> Iterable[Observation]:
    return [Observation(resident_bytes())]
