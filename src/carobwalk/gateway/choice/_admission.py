"""Admission of requests to servers that are asked for more than they can do."""

import math
import random
from collections import defaultdict
from collections.abc import Callable, Mapping
from typing import Final

import trio

from carobwalk.directory import BackendServer, ServerIncarnation
from carobwalk.gateway._caller_request import CallerRequest
from carobwalk.gateway.choice._crash_tracker import fingerprint_of
from carobwalk.gateway.choice._rank_mix import RankMix
from carobwalk.gateway.choice._shared_steps import SharedSteps
from carobwalk.gateway.choice._target import NoTarget
from carobwalk.gateway.choice._turn_ring import STEP_SECONDS, TurnRing
from carobwalk.gateway.choice._window_width import window_width
from carobwalk.model import ServiceName
from carobwalk.routing import Route

# How long the shares hold after they were told.
_VALID_SECONDS: Final = 1.0
# Part of a step after whose begin callers return. The margins at both ends are
# for clocks that differ between processes and for the caller's way.
_RETURN_PARTS: Final = (0.25, 0.75)
# Time to come back if no turn is known.
_NO_TURN_SECONDS: Final = 2.0
_HASH_BITS: Final = 64
_OVERLOADED: Final = 'the key is asked for more than its owner can do'


class Admission:
    """Admits a share of the requests for each overloaded server, by turns.

    All processes admit the same share, so that together they ask for what the
    server can do; what it can't do is refused before it is sent. Requests have
    their turns at the same time in all processes, so a refused caller that
    returns as it was told is admitted.

    Args:
        now: Returns the current time on the local clock.
    """

    def __init__(self, now: Callable[[], float] = trio.current_time) -> None:
        self._now = now
        self._share_by_incarnation: Mapping[ServerIncarnation, float] = {}
        self._told_at = -math.inf
        self._steps = SharedSteps(STEP_SECONDS)
        self._mixes_by_service: dict[ServiceName, RankMix] = defaultdict(
            RankMix
        )

    @property
    def overloaded(self) -> frozenset[ServerIncarnation]:
        """Servers that were told to be overloaded, and lately enough."""
        if self._now() - self._told_at > _VALID_SECONDS:
            return frozenset()
        return frozenset(self._share_by_incarnation)

    def replace(
        self, shares: Mapping[ServerIncarnation, float], phase: float = 0
    ) -> None:
        """Replace the admitted shares by those that were told now.

        Args:
            shares: Share of the requests that each overloaded server can run.
            phase: Time on the coordinator's clock, 0 if it doesn't tell it.
        """
        self._share_by_incarnation = shares
        self._told_at = self._now()
        self._steps.apply(phase, self._told_at)

    def refusal(
        self, server: BackendServer, request: CallerRequest
    ) -> NoTarget | None:
        """Return why a request is refused, ``None`` if it is admitted.

        Args:
            server: Server that owns the key of the request.
            request: The request, which is counted.
        """
        mix = self._mixes_by_service[server.service]
        mix.count(request.route.rank)
        if server.incarnation not in self.overloaded:
            return None
        told = self._share_by_incarnation[server.incarnation]
        share = mix.share_of(request.route.rank, told)
        if not self._steps.is_known:
            return _refusal_by_chance(share)
        return self._refusal_by_turn(share, request)

    def chance(self, server: BackendServer, route: Route) -> float:
        """Return the part of a route's first requests that is admitted now.

        Nothing is counted or drawn.

        Args:
            server: Server that owns the keys of the requests.
            route: Their route.
        """
        if server.incarnation not in self.overloaded:
            return 1
        share = self._share_by_incarnation[server.incarnation]
        mix = self._mixes_by_service.get(server.service)
        if mix is not None:
            share = mix.share_of(route.rank, share)
        if self._steps.is_known:
            share = window_width(share, route.timeout)
        return min(share, 1)

    def _refusal_by_turn(
        self, share: float, request: CallerRequest
    ) -> NoTarget | None:
        step, elapsed = self._steps.at(self._now())
        ring = TurnRing(step, window_width(share, request.route.timeout))
        # Callers may share an address, so the place also depends on what is
        # asked for. It is the same for all retries of a request.
        place = math.ldexp(fingerprint_of(request), -_HASH_BITS)
        if ring.has_turn(place):
            return None
        parts = ring.steps_to_turn(place) + random.uniform(*_RETURN_PARTS)
        return NoTarget(_OVERLOADED, parts * STEP_SECONDS - elapsed)


def _refusal_by_chance(share: float) -> NoTarget | None:
    """Decide without turns, while the coordinator doesn't tell the phase."""
    if random.random() <= share:
        return None
    seconds = STEP_SECONDS / share if share else _NO_TURN_SECONDS
    return NoTarget(_OVERLOADED, min(seconds, _NO_TURN_SECONDS))
