"""Choice of the placement of a request, and its hand-over."""

import itertools
from dataclasses import replace
from typing import Final

import trio
from result import Err, Ok, Result

from carobwalk.dispatch import ServerChooser
from carobwalk.entry._caller_body import CallerBody
from carobwalk.entry._caller_sink import CallerSink
from carobwalk.entry._refusals import deadline_exceeded
from carobwalk.model import (
    Call,
    Completion,
    Failure,
    FailureKind,
    Forwarder,
    Outcome,
    Placement,
    RequestHead,
    RequestId,
    ServerId,
)
from carobwalk.ownership import NoPlacement, Placements

# The dispatcher's own refusal at the time limit should arrive first.
_GRACE_SECONDS: Final = 0.25
_PAUSE_SECONDS: Final = 0.02
_MOVED_KINDS: Final = frozenset(
    (
        FailureKind.NOT_DISPATCHER,
        FailureKind.PEER_LOST,
        FailureKind.FENCED,
        FailureKind.STOPPING,
        FailureKind.NO_OWNER,
    ),
)
_FULL_KINDS: Final = frozenset(
    (
        FailureKind.QUEUE_FULL,
        FailureKind.SHED,
        FailureKind.SERVER_UNREACHABLE,
    ),
)


class Router:
    """Finds the placement of each request and hands the request over.

    A request that was refused before it ran, because the map had changed, is
    placed again while its time limit and its body allow. Retries of requests
    that reached a backend server are the dispatcher's alone.

    Args:
        placements: The shard map.
        forwarder: Takes a request to its dispatcher.
        chooser: Picks one of several candidates for unkeyed work, by the
            outcomes that it is told.
    """

    def __init__(
        self,
        placements: Placements,
        forwarder: Forwarder,
        chooser: ServerChooser,
    ) -> None:
        self._placements = placements
        self._forwarder = forwarder
        self._chooser = chooser

    async def route(
        self,
        head: RequestHead,
        body: CallerBody,
        sink: CallerSink,
    ) -> Result[Completion, Failure]:
        """Run a request within its time limit.

        Args:
            head: Classified head, its deadline counted from now.
            body: Body of the request.
            sink: Receiver of the answer.

        Returns:
            The completion, or the failure that the caller is to be told.
        """
        ends = trio.current_time() + head.deadline
        attempt = Call(head, body)
        tried: set[str] = set()
        with trio.move_on_at(ends + _GRACE_SECONDS):
            for number in itertools.count(1):
                attempt = Call(_nth_attempt(head, number, ends), body)
                ended = await self._attempt(attempt, sink, tried)
                if isinstance(ended, Ok):
                    return ended
                is_open = trio.current_time() < ends and not body.is_started
                if not is_open or not _may_place_again(head, ended.err_value):
                    return ended
                await trio.sleep(_PAUSE_SECONDS)
        is_sent = attempt.progress.is_sent
        return Err(
            deadline_exceeded(Outcome.UNKNOWN if is_sent else Outcome.NOT_RUN),
        )

    async def _attempt(
        self,
        call: Call,
        sink: CallerSink,
        tried: set[str],
    ) -> Result[Completion, Failure]:
        placed = self._place(call.head, tried)
        if isinstance(placed, Err):
            return Err(_no_owner(placed.err_value))
        placement = placed.ok_value
        if call.head.key is not None:
            return await self._forwarder.forward(call, placement, sink)
        ended = await self._forward_unkeyed(call, placement, sink)
        if ended.is_err():
            tried.add(placement.server.name)
        return ended

    async def _forward_unkeyed(
        self,
        call: Call,
        placement: Placement,
        sink: CallerSink,
    ) -> Result[Completion, Failure]:
        began = trio.current_time()
        with self._chooser.sending(placement):
            ended = await self._forwarder.forward(call, placement, sink)
        seconds = trio.current_time() - began
        self._chooser.record(placement, ended, seconds)
        return ended

    def _place(
        self,
        head: RequestHead,
        tried: set[str],
    ) -> Result[Placement, NoPlacement]:
        if head.key is not None:
            return self._placements.locate(head.service, head.key)
        found = self._placements.candidates(head.service)
        if isinstance(found, Err):
            return found
        candidates = found.ok_value
        fresh = tuple(
            candidate
            for candidate in candidates
            if ServerId(candidate.server.name) not in tried
        )
        chosen = self._chooser.choose(fresh)
        if chosen is None:
            return Err(
                NoPlacement(head.service, 'every backend server refused it'),
            )
        return Ok(chosen)


def _nth_attempt(
    head: RequestHead,
    number: int,
    ends: float,
) -> RequestHead:
    """Return the head of an attempt, with an id of its own.

    A dispatcher that was told to forget an attempt must not mistake the next
    one for it.
    """
    own_id = f'{head.request_id}.{number}' if number > 1 else head.request_id
    return replace(
        head,
        request_id=RequestId(own_id),
        deadline=max(0, ends - trio.current_time()),
    )


def _may_place_again(head: RequestHead, failure: Failure) -> bool:
    if failure.outcome is not Outcome.NOT_RUN:
        return False
    if head.key is None and failure.kind in _FULL_KINDS:
        return True
    return failure.kind in _MOVED_KINDS


def _no_owner(missing: NoPlacement) -> Failure:
    return Failure(
        FailureKind.NO_OWNER,
        Outcome.NOT_RUN,
        missing.detail,
        missing.retry_after,
    )
