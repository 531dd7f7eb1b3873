"""Recorders of metrics for events of dispatch and ownership.

Only processes that dispatch and coordinate by shards import this module.
"""

from collections.abc import Callable
from typing import Final, TypeVar

from carobwalk.dispatch._events import RequestEnded, RequestSuspected
from carobwalk.events import Event
from carobwalk.metrics._recording_targets import Recorder, RecordingTargets
from carobwalk.metrics._shard_ownership_tracker import ShardName
from carobwalk.model import ServiceName
from carobwalk.ownership._events import (
    CoordinatorDeposed,
    ShardActivated,
    ShardLapsed,
    ShardReleased,
    ShardTakenOver,
)

_EventT = TypeVar('_EventT', bound=Event)
_TypedRecorder = Callable[[RecordingTargets, _EventT], None]

recorders_by_event: Final[dict[type[Event], Recorder]] = {}


def records(
    event: type[_EventT],
) -> Callable[[_TypedRecorder[_EventT]], _TypedRecorder[_EventT]]:
    """Register the recorder of an event type."""

    def decorator(
        recorder: _TypedRecorder[_EventT],
    ) -> _TypedRecorder[_EventT]:
        recorders_by_event[event] = recorder
        return recorder

    return decorator


@records(RequestEnded)
def record_retries(targets: RecordingTargets, event: RequestEnded) -> None:
    """Count the sends after the first one as retries."""
    for _ in range(event.sends - 1):
        targets.metrics.record_retry(ServiceName(event.service))


@records(RequestSuspected)
def record_conviction(
    targets: RecordingTargets, event: RequestSuspected
) -> None:
    """Count a request that was put into quarantine."""
    if event.convicted:
        targets.metrics.record_quarantine(ServiceName(event.service))


@records(ShardActivated)
def record_activation(targets: RecordingTargets, event: ShardActivated) -> None:
    """Record the new owner."""
    name = ShardName(event.group, event.service, event.shard)
    targets.shards.set_owner(name, event.server)


@records(ShardTakenOver)
def record_takeover(targets: RecordingTargets, event: ShardTakenOver) -> None:
    """Record the owner that a new coordinator found, if any."""
    name = ShardName(event.group, event.service, event.shard)
    if event.server is None:
        targets.shards.remove_owner(name)
    else:
        targets.shards.set_owner(name, event.server)


@records(ShardLapsed)
def record_lapse(targets: RecordingTargets, event: ShardLapsed) -> None:
    """Record that the shard has no owner."""
    targets.shards.remove_owner(
        ShardName(event.group, event.service, event.shard)
    )


@records(ShardReleased)
def record_release(targets: RecordingTargets, event: ShardReleased) -> None:
    """Record that the shard has no owner."""
    targets.shards.remove_owner(
        ShardName(event.group, event.service, event.shard)
    )


@records(CoordinatorDeposed)
def record_deposition(
    targets: RecordingTargets, event: CoordinatorDeposed
) -> None:
    """Drop the shards that another coordinator now tracks."""
    targets.shards.drop_group(event.group)
