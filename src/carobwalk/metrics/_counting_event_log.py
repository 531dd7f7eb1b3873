"""Event log that also counts."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Final

from carobwalk.events import Event, EventLog
from carobwalk.metrics._metrics import Metrics
from carobwalk.metrics._records import Recorder, Records
from carobwalk.metrics._shard_history import ShardHistory
from carobwalk.model import Clock

_NO_RECORDERS: Final[Mapping[type[Event], Recorder]] = MappingProxyType({})


class CountingEventLog:
    """Passes events on to a log, and counts what they tell.

    Args:
        log: Log that writes the events.
        metrics: Takes the counts.
        clock: Clock of the time for which shards have no owner.
        recorders: What counts an event besides its name, by kind.
    """

    def __init__(
        self,
        log: EventLog,
        metrics: Metrics,
        clock: Clock,
        recorders: Mapping[type[Event], Recorder] = _NO_RECORDERS,
    ) -> None:
        self._log = log
        self._recorders_by_event = recorders
        self._records = Records(metrics, ShardHistory(metrics, clock))

    def emit(self, event: Event) -> None:
        """Write one event, and count it."""
        self._log.emit(event)
        kind = type(event)
        self._records.metrics.record_event(kind.__name__)
        recorder = self._recorders_by_event.get(kind)
        if recorder is not None:
            recorder(self._records, event)
