"""Placement and forwarding of requests."""

import itertools
from dataclasses import replace
from typing import Final

import trio
from result import Err, Ok, Result

from carobwalk.dispatch import ServerChooser
from carobwalk.entry._caller_body import CallerBody
from carobwalk.entry._caller_sink import CallerSink
from carobwalk.entry._failures import deadline_exceeded
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

# Lets the dispatcher's own deadline failure arrive before the router's.
_DEADLINE_GRACE_SECONDS: Final = 0.25
_RETRY_DELAY_SECONDS: Final = 0.02
_STALE_PLACEMENT_KINDS: Final = frozenset(
    (
        FailureKind.NOT_DISPATCHER,
        FailureKind.PEER_LOST,
        FailureKind.FENCED,
        FailureKind.STOPPING,
        FailureKind.NO_OWNER,
    ),
)
_SERVER_REFUSAL_KINDS: Final = frozenset(
    (
        FailureKind.QUEUE_FULL,
        FailureKind.SHED,
        FailureKind.SERVER_UNREACHABLE,
    ),
)


class Router:
    """Places each request and forwards it to its dispatcher.

    A request that failed without having run is placed again if its placement
    was out of date or, for a request without a key, if the backend server
    refused it. This ends at the deadline, or once its body is being read.
    Requests that reached a backend server are retried only by the
    dispatcher.

    Args:
        placements: Shard map that gives the placement of a key.
        forwarder: Sends a request to its dispatcher.
        chooser: Selects a backend server for requests without a key, based on
            the outcomes recorded here.
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
        """Forward a request and return its result.

        Args:
            head: Classified head; its deadline is in seconds from now.
            body: Body of the request; read at most once.
            sink: Receives the response.

        Returns:
            The completion, or the failure to report to the caller.
        """
        deadline_at = trio.current_time() + head.deadline
        attempt = Call(head, body)
        tried: set[str] = set()
        with trio.move_on_at(deadline_at + _DEADLINE_GRACE_SECONDS):
            for number in itertools.count(1):
                attempt = Call(
                    _head_of_attempt(head, number, deadline_at),
                    body,
                )
                result = await self._attempt(attempt, sink, tried)
                if isinstance(result, Ok):
                    return result
                can_retry = (
                    trio.current_time() < deadline_at and not body.is_started
                )
                if not can_retry or not _is_retryable(head, result.err_value):
                    return result
                await trio.sleep(_RETRY_DELAY_SECONDS)
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
            return Err(_no_owner_failure(placed.err_value))
        placement = placed.ok_value
        if call.head.key is not None:
            return await self._forwarder.forward(call, placement, sink)
        result = await self._forward_unkeyed(call, placement, sink)
        if result.is_err():
            tried.add(placement.server.name)
        return result

    async def _forward_unkeyed(
        self,
        call: Call,
        placement: Placement,
        sink: CallerSink,
    ) -> Result[Completion, Failure]:
        started_at = trio.current_time()
        with self._chooser.sending(placement):
            result = await self._forwarder.forward(call, placement, sink)
        seconds = trio.current_time() - started_at
        self._chooser.record(placement, result, seconds)
        return result

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
        untried = tuple(
            candidate
            for candidate in candidates
            if ServerId(candidate.server.name) not in tried
        )
        chosen = self._chooser.choose(untried)
        if chosen is None:
            return Err(
                NoPlacement(head.service, 'every backend server refused it'),
            )
        return Ok(chosen)


def _head_of_attempt(
    head: RequestHead,
    number: int,
    deadline_at: float,
) -> RequestHead:
    """Return the head of the given attempt, counted from 1.

    Each attempt has its own request id, so that a dispatcher that cancels one
    attempt does not cancel the next one by mistake.
    """
    attempt_id = (
        f'{head.request_id}.{number}' if number > 1 else head.request_id
    )
    return replace(
        head,
        request_id=RequestId(attempt_id),
        deadline=max(0, deadline_at - trio.current_time()),
    )


def _is_retryable(head: RequestHead, failure: Failure) -> bool:
    if failure.outcome is not Outcome.NOT_RUN:
        return False
    if head.key is None and failure.kind in _SERVER_REFUSAL_KINDS:
        return True
    return failure.kind in _STALE_PLACEMENT_KINDS


def _no_owner_failure(missing: NoPlacement) -> Failure:
    return Failure(
        FailureKind.NO_OWNER,
        Outcome.NOT_RUN,
        missing.detail,
        missing.retry_after,
    )
