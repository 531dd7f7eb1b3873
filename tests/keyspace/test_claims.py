"""Claims of a key map whose write had no answer."""

import trio
from result import Err, Result
from trio.testing import MockClock

from carobwalk.events import NullEventLog
from carobwalk.keyspace import KeyTimes
from carobwalk.keyspace._claimant import Claimant
from carobwalk.keyspace._codec import encode_map, map_name
from carobwalk.keyspace._key_map import KeyMap
from carobwalk.keyspace._key_range import KeyRange
from carobwalk.keyspace._map_claim import MapClaim, claim_map
from carobwalk.keyspace._map_writer import MapWriter
from carobwalk.lease import Term
from carobwalk.model import TrioClock
from carobwalk.store import (
    LeaseId,
    StoreFailure,
    Unanswered,
    join_lease,
    join_revision,
)
from standins.platform import KvStore
from tests.keyspace.simulated_fleet import SERVICE, make_endpoint, make_server

WHOLE = KeyMap(
    (
        KeyRange(
            first=0,
            last=65_535,
            owner=make_server(0).incarnation,
            fence=1,
            is_granted=True,
        ),
    ),
)
FIRST = Claimant(make_endpoint('a'), LeaseId('1'))
SECOND = Claimant(make_endpoint('b'), LeaseId('2'))
THIRD = Claimant(make_endpoint('c'), LeaseId('3'))


class _UnansweringStore:
    """Store whose writes go unanswered.

    Args:
        store: Store with the records.
        is_executed: Whether the writes are done all the same.
    """

    def __init__(self, store: KvStore, *, is_executed: bool) -> None:
        self._store = store
        self._is_executed = is_executed

    async def write(
        self, name: str, *arguments: object
    ) -> Result[int, StoreFailure]:
        """Write a record, without an answer."""
        if self._is_executed:
            await self._store.write(name, *arguments)
        return Err(Unanswered('no answer'))

    async def list_records(self, name: str) -> object:
        """Return the records."""
        return await self._store.list_records(name)


async def _claim(store: object, claimant: Claimant) -> MapClaim | None:
    writer = MapWriter(store, SERVICE, NullEventLog(), claimant)
    clock = TrioClock()
    times = KeyTimes()
    term = Term(claimant.lease, clock.now(), times, clock)
    return await claim_map(writer, times, term)


def _store_claimed_by(claimant: Claimant) -> KvStore:
    store = KvStore()
    content = encode_map(WHOLE, is_settled=False, claimant=claimant)
    store.records.put(map_name(SERVICE), content)
    return store


class TestUnansweredClaim:
    # Guards against two owners: a coordinator whose claim was never written
    # sent grants that its successor, who asked the one before, did not know.
    def test_not_executed(self, virtual_clock: MockClock) -> None:
        """A record that still names another coordinator is not claimed."""

        async def body() -> None:
            store = _store_claimed_by(FIRST)
            silent = _UnansweringStore(store, is_executed=False)
            assert await _claim(silent, SECOND) is None

        trio.run(body, clock=virtual_clock)

    def test_executed(self, virtual_clock: MockClock) -> None:
        """A claim that took effect without an answer counts."""

        async def body() -> None:
            store = _store_claimed_by(FIRST)
            silent = _UnansweringStore(store, is_executed=True)
            claim = await _claim(silent, SECOND)
            assert claim is not None
            assert claim.predecessor == FIRST

        trio.run(body, clock=virtual_clock)

    # Guards against two owners: the coordinator whose late claim came between
    # the read and the write was not asked for its grants.
    def test_overtaken(self, virtual_clock: MockClock) -> None:
        """A claim that conflicts with another's equal map does not count."""

        async def body() -> None:
            store = _store_claimed_by(FIRST)
            overtaken = _OvertakenStore(store)
            assert await _claim(overtaken, SECOND) is None
            claim = await _claim(store, SECOND)
            assert claim is not None
            assert claim.predecessor == THIRD

        trio.run(body, clock=virtual_clock)


class _OvertakenStore(_UnansweringStore):
    """Store in which another coordinator's claim precedes each write.

    Args:
        store: Store with the records.
    """

    def __init__(self, store: KvStore) -> None:
        super().__init__(store, is_executed=False)

    async def write(
        self, name: str, *arguments: object
    ) -> Result[int, StoreFailure]:
        """Write the other claim first, so that this one conflicts."""
        content = encode_map(WHOLE, is_settled=False, claimant=THIRD)
        self._store.records.put(name, content)
        return await self._store.write(name, *arguments)


class TestRestoredStore:
    # Guards against two owners: a record from before a restore of the store
    # names owners whose keys have been granted to others since.
    def test_outdated_record(self, virtual_clock: MockClock) -> None:
        """No owner of an older era is renewed, whoever wrote the record."""

        async def body() -> None:
            outdated = _in_era(1, FIRST)
            claim = await _claim(outdated, SECOND)
            assert claim is not None
            assert not claim.key_map.ranges
            assert claim.predecessor is None
            times = KeyTimes()
            assert claim.inherited.holds >= times.lease + times.longest_hold

        trio.run(body, clock=virtual_clock)

    def test_settled_record(self, virtual_clock: MockClock) -> None:
        """A resignation of an older era shortens no wait."""

        async def body() -> None:
            outdated = _in_era(1, FIRST, is_settled=True)
            claim = await _claim(outdated, SECOND)
            assert claim is not None
            assert claim.inherited.unanswered >= KeyTimes().longest_hold

        trio.run(body, clock=virtual_clock)

    # Guards against two owners: a record that was first written after the copy
    # was made is missing, while its grants are in force.
    def test_lost_record(self, virtual_clock: MockClock) -> None:
        """Grants of a record that a restore has lost are waited for."""

        async def body() -> None:
            times = KeyTimes()
            second = Claimant(make_endpoint('b'), join_lease(1, 5))
            claim = await _claim(KvStore(), second)
            assert claim is not None
            assert claim.inherited.holds >= times.lease + times.longest_hold
            claim = await _claim(KvStore(), SECOND)
            assert claim is not None
            assert not claim.inherited.holds

        trio.run(body, clock=virtual_clock)

    def test_record_of_this_era(self, virtual_clock: MockClock) -> None:
        """A record written since the restore is claimed as usual."""

        async def body() -> None:
            first = Claimant(make_endpoint('a'), join_lease(1, 4))
            second = Claimant(make_endpoint('b'), join_lease(1, 5))
            claim = await _claim(_in_era(1, first), second)
            assert claim is not None
            assert claim.predecessor == first

        trio.run(body, clock=virtual_clock)


def _in_era(
    era: int, claimant: Claimant, *, is_settled: bool = False
) -> KvStore:
    store = KvStore()
    store.records.revision = join_revision(era, 1)
    content = encode_map(WHOLE, is_settled=is_settled, claimant=claimant)
    store.records.put(map_name(SERVICE), content)
    return store
