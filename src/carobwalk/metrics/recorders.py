"""What is counted for events of dispatch and ownership besides their names.

Only processes that dispatch and coordinate by shards import this.
"""

from collections.abc import Callable
from typing import Final, TypeVar

from carobwalk.dispatch._events import RequestEnded, RequestSuspected
from carobwalk.events import Event
from carobwalk.metrics._records import Recorder, Records
from carobwalk.metrics._shard_history import ShardName
from carobwalk.model import ServiceName
from carobwalk.ownership._events import (
    CoordinatorDeposed,
    ShardActivated,
    ShardLapsed,
    ShardReleased,
    ShardTakenOver,
)

_EventT = TypeVar('_EventT', bound=Event)
_TypedRecorder = Callable[[Records, _EventT], None]

recorders_by_event: Final[dict[type[Event], Recorder]] = {}


def records(
    event: type[_EventT],
) -> Callable[[_TypedRecorder[_EventT]], _TypedRecorder[_EventT]]:
    """Register the recorder of an event."""

    def decorator(
        recorder: _TypedRecorder[_EventT],
    ) -> _TypedRecorder[_EventT]:
        recorders_by_event[event] = recorder
        return recorder

    return decorator


@records(RequestEnded)
def record_retries(target: Records, event: RequestEnded) -> None:
    """Count the sends after the first one."""
    for _ in range(event.sends - 1):
        target.metrics.record_retry(ServiceName(event.service))


@records(RequestSuspected)
def record_conviction(target: Records, event: RequestSuspected) -> None:
    """Count a request that is in quarantine from now on."""
    if event.convicted:
        target.metrics.record_quarantine(ServiceName(event.service))


@records(ShardActivated)
def record_activation(target: Records, event: ShardActivated) -> None:
    """Take note of the new owner."""
    name = ShardName(event.group, event.service, event.shard)
    target.shards.gain(name, event.server)


@records(ShardTakenOver)
def record_takeover(target: Records, event: ShardTakenOver) -> None:
    """Take note of the owner that a new coordinator found."""
    name = ShardName(event.group, event.service, event.shard)
    if event.server is None:
        target.shards.lose(name)
    else:
        target.shards.gain(name, event.server)


@records(ShardLapsed)
def record_lapse(target: Records, event: ShardLapsed) -> None:
    """Take note that the shard has no owner."""
    target.shards.lose(ShardName(event.group, event.service, event.shard))


@records(ShardReleased)
def record_release(target: Records, event: ShardReleased) -> None:
    """Take note that the shard has no owner."""
    target.shards.lose(ShardName(event.group, event.service, event.shard))


@records(CoordinatorDeposed)
def record_deposition(target: Records, event: CoordinatorDeposed) -> None:
    """Drop what another coordinator knows better from now on."""
    target.shards.forget(event.group)
