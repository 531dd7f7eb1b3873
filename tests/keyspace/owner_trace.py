"""Traces of violations that random runs found."""

from collections.abc import Iterable, Iterator

from standins.platform import OrderEntry
from tests.keyspace.simulated_fleet import TimedLog

_TRACE_SECONDS = 14
_KEY_EVENTS = frozenset(('KeysAssigned', 'KeysGranted', 'OrderFailed'))


def trace_lines(
    violation: str,
    orders: Iterable[OrderEntry],
    faults: Iterable[tuple[float, str]],
    logs: Iterable[TimedLog],
) -> list[str]:
    """Return what happened before a violation, in the order of time.

    Args:
        violation: Line of the violation: its time and its key come first.
        orders: Steps of orders.
        faults: Times and descriptions of the injected faults.
        logs: Events of all processes.
    """
    words = violation.replace(':', '').split()
    end, key = float(words[0]), int(words[2])
    found = list(_order_lines(orders, key))
    found.extend(faults)
    for number, log in enumerate(logs):
        found.extend(_event_lines(log, number, key))
    found.sort()
    lines = [
        f'{at:8.3f} {text}'
        for at, text in found
        if end - _TRACE_SECONDS <= at <= end + 0.001
    ]
    return [*lines, violation]


def _order_lines(
    orders: Iterable[OrderEntry], key: int
) -> Iterator[tuple[float, str]]:
    for entry in orders:
        if entry.first <= key <= entry.last:
            keys = f'[{entry.first}-{entry.last}]'
            yield entry.at, f'{keys} {entry.text}'


def _event_lines(
    log: TimedLog, number: int, key: int
) -> Iterator[tuple[float, str]]:
    for at, event in zip(log.times, log.events, strict=True):
        first = getattr(event, 'first', 0)
        last = getattr(event, 'last', key)
        is_shown = type(event).__name__ in _KEY_EVENTS or 'Term' in str(event)
        is_shown = is_shown or type(event).__name__.startswith(
            ('Predecessor', 'Owner', 'Map')
        )
        if is_shown and first <= key <= last:
            yield at, f'r{number}: {event}'
