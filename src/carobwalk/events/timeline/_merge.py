"""Merging of several logs into one causal order."""

import heapq
from collections import defaultdict
from collections.abc import Iterable, Iterator

from carobwalk.events._hybrid_stamp import HybridStamp
from carobwalk.events._logged_event import LoggedEvent

_SortKey = tuple[HybridStamp, str, int]


def merge_events(
    logs: Iterable[Iterable[LoggedEvent]],
) -> Iterator[LoggedEvent]:
    """Yield the events of all logs in causal order.

    Events are ordered by stamp, and by process where stamps are equal. The
    events of one process in one log keep their order, even if its stamps
    decreased after a restart on a host whose clock was set back.

    Args:
        logs: Events of each log in the order of the log.
    """
    streams = [
        _with_sort_keys(events, number)
        for log in logs
        for number, events in enumerate(_split_by_process(log))
    ]
    for _, event in heapq.merge(*streams, key=_sort_key_of):
        yield event


def _split_by_process(
    log: Iterable[LoggedEvent],
) -> Iterable[list[LoggedEvent]]:
    """Return the events of a log as one list for each process."""
    streams_by_process: defaultdict[str, list[LoggedEvent]] = defaultdict(list)
    for event in log:
        streams_by_process[event.process].append(event)
    return streams_by_process.values()


def _with_sort_keys(
    events: list[LoggedEvent],
    number: int,
) -> Iterator[tuple[_SortKey, LoggedEvent]]:
    latest = HybridStamp(0, 0)
    for event in events:
        latest = max(latest, event.stamp)
        yield (latest, event.process, number), event


def _sort_key_of(keyed_event: tuple[_SortKey, LoggedEvent]) -> _SortKey:
    return keyed_event[0]
