"""Check that routers obey what servers say of themselves in their answers."""

import math
from collections import defaultdict, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

import trio

from soak._invariant_checker import InvariantChecker

# Time within which a notice binds a router: requests may be under way.
_GRACE_SECONDS: Final = 0.5
_DRAIN_SECONDS: Final = 2.0
# Longest time from a caller's sending of a request to its last arrival.
_LONGEST_REQUEST_SECONDS: Final = 2.0
# Time within which all routers have to share a limit.
_SHARING_SECONDS: Final = 3.0
_WINDOW_SECONDS: Final = 4.0
_ALLOWED_SHARE: Final = 1.5
_ALLOWED_SLACK: Final = 5
_MAX_ARRIVALS_IN_WAIT: Final = 2
# Time for which a restart or a freeze of a router excuses it.
_EXCUSE_SECONDS: Final = 3.0


@dataclass(slots=True)
class _Bound:
    """What one router has been told by one server."""

    leaving_at: float = math.inf
    limited_at: float = math.inf
    wait_from: float = math.inf
    wait_until: float = -math.inf
    arrivals_in_wait: int = 0


@dataclass(slots=True)
class _Server:
    """Notices and arrivals of one incarnation of a server."""

    limit: float | None = None
    limited_at: float = math.inf
    counted: deque[float] = field(default_factory=deque)
    bounds_by_router: dict[str, _Bound] = field(
        default_factory=lambda: defaultdict(_Bound)
    )


class NoticeCheck:
    """Checks the arrivals at servers against their notices.

    Args:
        checker: Receives the violations.
        disturbed_at: Returns when a router was last restarted or resumed, in
            seconds of the event loop's clock.
    """

    def __init__(
        self, checker: InvariantChecker, disturbed_at: Callable[[str], float]
    ) -> None:
        self._checker = checker
        self._disturbed_at = disturbed_at
        self._servers_by_incarnation: dict[object, _Server] = defaultdict(
            _Server
        )

    def record_answer(
        self,
        incarnation: object,
        router: str,
        limit: float | None,
        wait_seconds: float,
        *,
        is_leaving: bool,
    ) -> None:
        """Record the notices of an answer to a router's request.

        Args:
            incarnation: Incarnation of the server.
            router: Name of the router.
            limit: Limit in requests per second, ``None`` without one.
            wait_seconds: Time for which the server wants no requests.
            is_leaving: Whether the server says that it leaves.
        """
        now = trio.current_time()
        server = self._servers_by_incarnation[incarnation]
        bound = server.bounds_by_router[router]
        if limit != server.limit:
            server.limit = limit
            server.limited_at = math.inf if limit is None else now
            server.counted.clear()
        bound.limited_at = (
            math.inf if limit is None else min(bound.limited_at, now)
        )
        if is_leaving:
            bound.leaving_at = min(bound.leaving_at, now)
        if wait_seconds and now >= bound.wait_until:
            bound.wait_from = now + _GRACE_SECONDS
            bound.wait_until = now + wait_seconds
            bound.arrivals_in_wait = 0

    def record_arrival(self, incarnation: object, router: str) -> None:
        """Record that a router's request arrived at a server."""
        now = trio.current_time()
        if now - self._disturbed_at(router) < _EXCUSE_SECONDS:
            return
        server = self._servers_by_incarnation[incarnation]
        bound = server.bounds_by_router[router]
        told_after = self._disturbed_at(router)
        if bound.leaving_at > told_after:
            self._check_leaving(bound, router, now)
        if bound.wait_from - _GRACE_SECONDS > told_after:
            self._check_wait(bound, router, now)
        if bound.limited_at > told_after:
            self._check_limit(server, bound, now)

    def _check_leaving(self, bound: _Bound, router: str, now: float) -> None:
        late = now - bound.leaving_at - _DRAIN_SECONDS
        if late > _LONGEST_REQUEST_SECONDS:
            detail = f'{late:.2f} s late by {router}'
            self._checker.record_violation('sent to a leaving server', detail)

    def _check_wait(self, bound: _Bound, router: str, now: float) -> None:
        if not bound.wait_from < now < bound.wait_until:
            return
        bound.arrivals_in_wait += 1
        if bound.arrivals_in_wait > _MAX_ARRIVALS_IN_WAIT:
            left = bound.wait_until - now
            detail = f'{left:.2f} s before its end by {router}'
            self._checker.record_violation('sent during a wait', detail)

    def _check_limit(self, server: _Server, bound: _Bound, now: float) -> None:
        is_shared = now - server.limited_at > _SHARING_SECONDS
        is_told = now - bound.limited_at > _GRACE_SECONDS
        if server.limit is None or not is_shared or not is_told:
            return
        counted = server.counted
        counted.append(now)
        while counted[0] < now - _WINDOW_SECONDS:
            counted.popleft()
        allowed = server.limit * _WINDOW_SECONDS * _ALLOWED_SHARE
        if len(counted) > allowed + _ALLOWED_SLACK:
            detail = f'{len(counted)} in 4 s, limit {server.limit:.2f}/s'
            self._checker.record_violation('sent beyond a limit', detail)
