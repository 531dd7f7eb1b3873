"""One causal order of the events of several logs."""

import heapq
from collections import defaultdict
from collections.abc import Iterable, Iterator

from carobwalk.events._hybrid_stamp import HybridStamp
from carobwalk.events._logged_event import LoggedEvent

_Position = tuple[HybridStamp, str, int]


def merge_events(
    logs: Iterable[Iterable[LoggedEvent]],
) -> Iterator[LoggedEvent]:
    """Yield all events in an order that respects cause and effect.

    Events are ordered by their stamps, those with equal stamps by process.
    The events of one process in one log keep their order, also where a
    restart on a host whose clock was set back made the stamps fall.

    Args:
        logs: The events of each log in its own order.
    """
    streams = [
        _positioned(stream, number)
        for log in logs
        for number, stream in enumerate(_streams_of(log))
    ]
    for _, event in heapq.merge(*streams, key=_position_of):
        yield event


def _streams_of(log: Iterable[LoggedEvent]) -> Iterable[list[LoggedEvent]]:
    """Return the events of each process of a log."""
    streams_by_process: defaultdict[str, list[LoggedEvent]] = defaultdict(list)
    for event in log:
        streams_by_process[event.process].append(event)
    return streams_by_process.values()


def _positioned(
    stream: list[LoggedEvent],
    number: int,
) -> Iterator[tuple[_Position, LoggedEvent]]:
    latest = HybridStamp(0, 0)
    for event in stream:
        latest = max(latest, event.stamp)
        yield (latest, event.process, number), event


def _position_of(positioned: tuple[_Position, LoggedEvent]) -> _Position:
    return positioned[0]
