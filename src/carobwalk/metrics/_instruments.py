"""Instruments that every process has."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Final

from opentelemetry.metrics import CallbackOptions, Meter, Observation

from carobwalk.metrics._process_usage import cpu_seconds, resident_bytes
from carobwalk.metrics._tally import Tally

SECONDS: Final = 's'
BYTES: Final = 'By'


@dataclass(frozen=True, slots=True)
class TallySpec:
    """A counter that is kept as a tally.

    Args:
        name: Name without the common prefix.
        unit: Unit in the form of UCUM; empty for a count.
        description: What is counted.
        labels: Names of the labels.
    """

    name: str
    unit: str
    description: str
    labels: tuple[str, ...]


RETRIES: Final = TallySpec(
    'retries',
    '',
    'Requests that were sent to a backend server again.',
    ('service',),
)
REFUSALS: Final = TallySpec(
    'refusals',
    '',
    'Requests that have not run, by the cause that callers are told.',
    ('service', 'cause'),
)
QUARANTINES: Final = TallySpec(
    'quarantines',
    '',
    'Requests that were put into quarantine.',
    ('service',),
)
STORE_CALLS: Final = TallySpec(
    'store.calls',
    '',
    'Calls of the key-value service.',
    ('operation', 'result'),
)
EVENTS: Final = TallySpec(
    'events',
    '',
    'Events by name, written or not.',
    ('event',),
)
MOVED_SHARDS: Final = TallySpec(
    'shards.moved',
    '',
    'Shards that were given to another backend server.',
    ('service',),
)
UNAVAILABLE: Final = TallySpec(
    'shards.unavailable',
    SECONDS,
    'Shard-seconds during which no backend server owned a shard.',
    ('service',),
)

_SPECS: Final = (
    RETRIES,
    REFUSALS,
    QUARANTINES,
    STORE_CALLS,
    EVENTS,
    MOVED_SHARDS,
    UNAVAILABLE,
)


def create_tallies(meter: Meter) -> Mapping[TallySpec, Tally]:
    """Return a tally for each counter, which the meter reads."""
    tallies_by_spec = {spec: Tally(*spec.labels) for spec in _SPECS}
    for spec, tally in tallies_by_spec.items():
        meter.create_observable_counter(
            spec.name,
            callbacks=[tally.observe],
            unit=spec.unit,
            description=spec.description,
        )
    return tallies_by_spec


def observe_process(meter: Meter) -> None:
    """Make the meter read what the process takes of its host."""
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
