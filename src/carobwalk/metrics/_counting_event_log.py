"""Event log that counts events."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Final

from carobwalk.events import Event, EventLog
from carobwalk.metrics._metrics import Metrics
from carobwalk.metrics._recording_targets import Recorder, RecordingTargets
from carobwalk.metrics._shard_ownership_tracker import ShardOwnershipTracker
from carobwalk.model import Clock

_NO_RECORDERS: Final[Mapping[type[Event], Recorder]] = MappingProxyType({})


class CountingEventLog:
    """Passes events on to a log, and records metrics of them.

    Args:
        log: Log that writes the events.
        metrics: Metrics to update.
        clock: Measures the time for which shards have no owner.
        recorders: Functions that record further metrics, by event type.
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
        self._targets = RecordingTargets(
            metrics, ShardOwnershipTracker(metrics, clock)
        )

    def emit(self, event: Event) -> None:
        """Pass one event on, and record its metrics."""
        self._log.emit(event)
        kind = type(event)
        self._targets.metrics.record_event(kind.__name__)
        recorder = self._recorders_by_event.get(kind)
        if recorder is not None:
            recorder(self._targets, event)
