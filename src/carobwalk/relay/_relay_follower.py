"""Reading of records from a relay, or else from the store."""

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Final

import trio
from result import Err

from carobwalk.model import Clock, Endpoint
from carobwalk.relay._age_bound import AgeBound
from carobwalk.relay._freshness import Freshness, FreshnessTimes
from carobwalk.relay._lag_watch import LagWatch
from carobwalk.relay._relay_choice import RelayChoice
from carobwalk.relay._relay_client import RelayClient
from carobwalk.store import AccessReason, DirectAccess, RecordFollower

# Time within which one of the processes that start together relays.
_FIRST_RELAY_SECONDS: Final = 1.5
_MAX_RELAYS_ASKED: Final = 3
_CHECK_SECONDS: Final = 0.4
_SEARCH_SECONDS: Final = 1.0
_JITTER_RANGE: Final = (0.5, 1.5)


@dataclass(frozen=True, slots=True, kw_only=True)
class RelayFollowerParts:
    """Dependencies of the follower of a relay.

    Args:
        client: Asks relays for changes and applies them.
        choice: The relays.
        relay_records: Follower of the records that name the relays.
        followers: Followers of all relayed prefixes, with that one.
        freshness: Age of the records whose changes have to be known in time.
        times: Times that keep it low.
        access: Way to the store, closed while a relay answers.
        is_coordinator: Returns whether this process coordinates; it then
            reads from the store itself.
        clock: Clock that keeps running while the host is suspended.
    """

    client: RelayClient
    choice: RelayChoice
    relay_records: RecordFollower
    followers: Sequence[RecordFollower]
    freshness: Freshness
    times: FreshnessTimes
    access: DirectAccess
    is_coordinator: Callable[[], bool]
    clock: Clock


class RelayFollower:
    """Keeps records current from the nearest relay that is fresh.

    Args:
        parts: Dependencies.
    """

    def __init__(self, parts: RelayFollowerParts) -> None:
        self._parts = parts
        self._started_at = parts.clock.now()
        self._cause = ''
        self._lag_watch = LagWatch(parts.client, parts.choice)
        self._age_bound = AgeBound(
            parts.freshness, parts.times, parts.access, self._read_directly
        )

    @property
    def seconds_since_contact(self) -> float:
        """Age of the last proof that the records are current."""
        proved_at = self._parts.freshness.proved_at
        return self._parts.clock.now() - max(proved_at, self._started_at)

    async def run(self) -> None:
        """Follow a relay, or let the process read the store, until cancelled.

        The records that name the relays are read from the store at first.
        They come with the others afterwards.
        """
        await self._parts.relay_records.read_first(_FIRST_RELAY_SECONDS)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._lag_watch.run)
            nursery.start_soon(self._age_bound.run)
            while True:
                await self._follow()

    async def _follow(self) -> None:
        self._parts.access.set_reason(
            AccessReason.COORDINATES,
            is_present=self._parts.is_coordinator(),
        )
        if self._is_reading_for_others():
            self._set_relay('', 'this process relays or coordinates')
            await trio.sleep(_CHECK_SECONDS)
        elif not await self._ask_relays():
            self._read_directly(self._cause)
            jitter = random.uniform(*_JITTER_RANGE)
            await trio.sleep(_SEARCH_SECONDS * jitter)

    def _is_reading_for_others(self) -> bool:
        """Return whether other processes depend on what this one reads now.

        One that is cut off from the store learns from other relays meanwhile.
        """
        return self._parts.access.reads_for_others and self._is_reading()

    def _is_reading(self) -> bool:
        return all(follower.is_reading for follower in self._parts.followers)

    async def _ask_relays(self) -> bool:
        """Ask the nearest relays in turn; return whether one was fresh."""
        choice = self._parts.choice
        self._cause = 'no relay is known'
        cause = 'a nearer relay is known' if choice.followed else 'it answers'
        for relay in choice.candidates()[:_MAX_RELAYS_ASKED]:
            failure = await self._fetch(relay)
            if failure is None:
                self._set_relay(relay.name, cause)
                self._parts.access.set_reason(
                    AccessReason.NO_RELAY, is_present=False
                )
                return True
            cause = failure
            self._cause = failure
            choice.suspect(relay)
        return False

    async def _fetch(self, relay: Endpoint) -> str | None:
        """Ask a relay for changes; return why it is not fresh, if so.

        One that is not followed yet is to answer at once. The question is
        cancelled if another relay tells changes before.
        """
        choice = self._parts.choice
        is_followed = relay.name == choice.followed
        hold = self._parts.times.hold if is_followed else 0
        with choice.begin_question():
            asked = await self._parts.client.fetch(relay, hold)
            if isinstance(asked, Err):
                return asked.err_value.detail
            age = self._parts.freshness.age
            if age > self._parts.times.longest_age:
                return f'{relay.name} was current {age:.2f} s ago'
            return None
        return f'{relay.name} lags'

    def _read_directly(self, cause: str) -> None:
        """Let the process read the store, since no relay is fresh.

        Args:
            cause: Why it does so.
        """
        self._set_relay('', cause)
        access = self._parts.access
        if not access.is_open:
            since = self._parts.clock.now() - self.seconds_since_contact
            for follower in self._parts.followers:
                follower.records.lose(since, 'RelayLost', cause)
        access.set_reason(AccessReason.NO_RELAY, is_present=True)

    def _set_relay(self, name: str, cause: str) -> None:
        self._parts.access.has_relay = bool(name)
        self._parts.choice.follow(name, cause)
