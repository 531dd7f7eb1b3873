"""Role of the process that relays the store's records in a region."""

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Final

import trio

from carobwalk.events import EventLog
from carobwalk.lease import LeaseTimes, Term, acquire_term, renew_lease
from carobwalk.model import Clock, Endpoint
from carobwalk.peer import encode_endpoint
from carobwalk.relay._events import RelayTermStarted
from carobwalk.relay._freshness import Freshness, FreshnessTimes
from carobwalk.relay._relay_directory import RelayDirectory, relay_record_name
from carobwalk.store import (
    AccessReason,
    DirectAccess,
    RecordFollower,
    TransactionalStore,
)

_LEASE_SECONDS: Final = 2.5
_POLL_SECONDS: Final = 0.25
_JITTER_SECONDS: Final = 0.5
# Slower hosts, and those with thinner links, delay their candidacy.
_FULL_SPEED: Final = 0.8
_FULL_LINK_MEGABITS: Final = 50.0
_DELAY_PER_SHORTAGE_SECONDS: Final = 0.6


@dataclass(frozen=True, slots=True)
class RelayHost:
    """Resources of a host that may relay.

    Args:
        speed: Processing capacity; 1 is one whole processor.
        link_megabits: Bandwidth of the link, in megabits a second.
        shortest_lease: Shortest lease in seconds that the store grants.
    """

    speed: float = 1
    link_megabits: float = _FULL_LINK_MEGABITS
    shortest_lease: float = 1


@dataclass(frozen=True, slots=True, kw_only=True)
class RelayRoleParts:
    """Dependencies of the relay role.

    Args:
        own: Endpoint of this process.
        host: Resources of its host.
        store: Key-value service.
        relays: Known relays.
        relay_records: Follower of the records that name the relays.
        followers: Followers of all relayed prefixes, with that one.
        freshness: Age of the records whose changes have to be known in time.
        times: Times that keep it low.
        access: Way to the store, open while this process relays.
        clock: Clock that keeps running while the host is suspended.
        events: Event log.
    """

    own: Endpoint
    host: RelayHost
    store: TransactionalStore
    relays: RelayDirectory
    relay_records: RecordFollower
    followers: Sequence[RecordFollower]
    freshness: Freshness
    times: FreshnessTimes
    access: DirectAccess
    clock: Clock
    events: EventLog


class RelayRole:
    """Acquires the role when the own region has no relay.

    Args:
        parts: Dependencies.
    """

    def __init__(self, parts: RelayRoleParts) -> None:
        self._parts = parts
        self._times = LeaseTimes(
            lease=max(_LEASE_SECONDS, parts.host.shortest_lease),
            keep_alive=parts.times.keep_alive,
        )
        self._term: Term | None = None
        self._is_resigning = False

    @property
    def is_fresh(self) -> bool:
        """Whether this process relays and the store answers it.

        That is proved by answers only, as a call that waits tells nothing: by
        renewals of the lease, and by watches that ended lately. Their ages are
        those of a clock that runs while the process is frozen, so that it
        doesn't serve old records after a thaw.
        """
        parts = self._parts
        term = self._term
        if term is None or not term.is_valid:
            return False
        if term.renewal_age > parts.times.longest_renewal_age:
            return False
        if parts.freshness.age > parts.times.longest_age:
            return False
        return all(follower.is_reading for follower in self._parts.followers)

    async def run(self) -> None:
        """Stand for the role and serve terms until cancelled."""
        while True:
            await self._wait_until(self._may_stand)
            jitter = random.random() * _JITTER_SECONDS
            await trio.sleep(jitter + self._candidacy_delay())
            term = await self._acquire() if self._may_stand() else None
            if term is not None:
                await self._serve(term)

    async def resign(self) -> None:
        """Give the role up so that another process can acquire it at once."""
        self._is_resigning = True
        term = self._term
        if term is not None and not term.is_over:
            term.end()
            await self._parts.store.end_lease(term.lease)

    def _may_stand(self) -> bool:
        if self._is_resigning:
            return False
        if self._parts.relays.has_relay(self._parts.own.region):
            return False
        return self._parts.relay_records.is_current

    def _candidacy_delay(self) -> float:
        host = self._parts.host
        shortage = max(_FULL_SPEED / host.speed - 1, 0)
        shortage += max(_FULL_LINK_MEGABITS / host.link_megabits - 1, 0)
        return shortage * _DELAY_PER_SHORTAGE_SECONDS

    async def _wait_until(self, condition: Callable[[], bool]) -> None:
        while not condition():
            with trio.move_on_after(_POLL_SECONDS):
                await self._parts.relays.changed.wait()

    async def _acquire(self) -> Term | None:
        """Try to acquire the role; return ``None`` if that failed."""
        parts = self._parts
        return await acquire_term(
            parts.store,
            relay_record_name(parts.own.region),
            encode_endpoint(parts.own),
            self._times,
            parts.clock,
        )

    async def _serve(self, term: Term) -> None:
        """Relay until the term is over."""
        parts = self._parts
        self._term = term
        parts.events.emit(RelayTermStarted(term.lease, parts.own.region))
        parts.access.set_reason(AccessReason.RELAYS, is_present=True)
        await renew_lease(
            term, parts.store, self._times, parts.clock, parts.events
        )
        self._term = None
        parts.access.set_reason(AccessReason.RELAYS, is_present=False)
