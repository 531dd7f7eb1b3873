"""Where events are counted, and what counts them."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from carobwalk.metrics._metrics import Metrics
from carobwalk.metrics._shard_history import ShardHistory


@dataclass(frozen=True, slots=True)
class Records:
    """Where recorders write.

    Args:
        metrics: Takes counts.
        shards: Takes changes of owners.
    """

    metrics: Metrics
    shards: ShardHistory


Recorder = Callable[[Records, Any], None]
