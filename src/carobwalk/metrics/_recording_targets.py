"""Targets of the functions that record metrics of events."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from carobwalk.metrics._metrics import Metrics
from carobwalk.metrics._shard_ownership_tracker import ShardOwnershipTracker


@dataclass(frozen=True, slots=True)
class RecordingTargets:
    """Objects that recorders update.

    Args:
        metrics: Metrics of the process.
        shards: Tracks the owners of shards.
    """

    metrics: Metrics
    shards: ShardOwnershipTracker


Recorder = Callable[[RecordingTargets, Any], None]
