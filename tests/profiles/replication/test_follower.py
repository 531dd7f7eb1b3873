"""Tests of the replication of the configuration to all processes."""

import zlib

import pytest
import trio
from trio.testing import MockClock

from benchmarks._config_fleet import Fleet, Process
from carobwalk.profiles import Configuration, Entity, HeadRecord
from carobwalk.profiles._codec import encode
from carobwalk.profiles.replication import (
    ConfigurationDamaged,
    ConfigurationStoreBehind,
    ConfigurationStoreLost,
)
from carobwalk.profiles.writing._head_store import HEAD_NAME
from standins.memory_store import StoreFaults
from tests.profiles._proposals import PROFILE, propose
from tests.profiles.replication._harness import (
    COUNT,
    DOWN,
    REPLICATION_LIMIT_SECONDS,
    replicate_first,
    restart,
    revisions_of,
    run,
    write_slots,
)


async def _sample_revisions(process: Process) -> list[int]:
    """Sample the active revision of a process for the time limit."""
    revisions = []
    for _ in range(REPLICATION_LIMIT_SECONDS * 10):
        revisions.append(process.follower.current().revision)
        await trio.sleep(0.1)
    return revisions


class TestFollower:
    """A change becomes active at every process within the time limit."""

    def test_watchers_forward_a_change(self, virtual_clock: MockClock) -> None:
        """Two watchers suffice for all processes."""

        async def test(fleet: Fleet) -> None:
            await replicate_first(fleet, 'entry-005')
            assert revisions_of(fleet) == {1}

        run(virtual_clock, test)

    def test_without_watchers(self, virtual_clock: MockClock) -> None:
        """Shared polling detects a change that no watcher reported."""

        async def test(fleet: Fleet) -> None:
            fleet.watchers = frozenset()
            await trio.sleep(11)
            await replicate_first(fleet, 'entry-005')
            assert revisions_of(fleet) == {1}

        run(virtual_clock, test)

    def test_store_down_after_acceptance(
        self,
        virtual_clock: MockClock,
    ) -> None:
        """Peers forward a change that the writing process adopted."""

        async def test(fleet: Fleet) -> None:
            fleet.watchers = frozenset()
            await trio.sleep(11)
            process = fleet.processes['entry-005']
            write = propose(PROFILE, 'a', {'slots': 1}, 0)
            accepted = (await process.repository.write(write)).unwrap()
            fleet.store.inject(DOWN)
            process.follower.adopt(accepted.configuration)
            await trio.sleep(REPLICATION_LIMIT_SECONDS)
            assert revisions_of(fleet) == {1}

        events = run(virtual_clock, test)
        assert events.count(ConfigurationStoreLost) > 0

    def test_start_while_the_store_is_down(
        self,
        virtual_clock: MockClock,
    ) -> None:
        """A starting process gets the revision from its peers."""

        async def test(fleet: Fleet) -> None:
            await replicate_first(fleet, 'entry-005')
            fleet.store.inject(DOWN)
            started = restart(fleet, 'entry-007')
            started.store.inject(DOWN)
            await trio.sleep(2)
            assert started.follower.current().revision == 1

        run(virtual_clock, test)

    def test_restart_with_only_stale_peers(
        self,
        virtual_clock: MockClock,
    ) -> None:
        """It waits for a revision that a peer announces but does not hold."""

        async def test(fleet: Fleet) -> None:
            await replicate_first(fleet, 'entry-000')
            fleet.store.inject(DOWN)
            # A peer that announces revision 2 holds only revision 1.
            fleet.processes['entry-003'].follower._local.note_revision(2)
            started = restart(fleet, 'entry-006')
            started.store.inject(DOWN)
            await trio.sleep(1)
            assert started.follower.current().revision == 0
            assert started.follower.configuration().revision == 0
            started.store.inject(StoreFaults())
            await trio.sleep(2)
            assert started.follower.current().revision == 1

        run(virtual_clock, test)

    def test_start_while_most_peers_are_partitioned(
        self,
        virtual_clock: MockClock,
    ) -> None:
        """Unreachable peers do not delay the start past the time limit."""

        async def test(fleet: Fleet) -> None:
            await replicate_first(fleet, 'entry-000')
            fleet.store_faults = DOWN
            fleet.cut('region-1')
            fleet.cut('region-2')
            started = restart(fleet, 'entry-003')
            await trio.sleep(REPLICATION_LIMIT_SECONDS - 1)
            assert started.follower.current().revision == 1

        run(virtual_clock, test)

    def test_restart_of_the_only_process_with_a_revision(
        self,
        virtual_clock: MockClock,
    ) -> None:
        """A restarted process activates the highest revision it can find.

        Without local storage, a revision that only this process had is lost
        to it until the store answers. The revision must not decrease while
        the process runs, and the accepted revision must become active within
        the time limit once a holder of it is reachable.
        """

        async def test(fleet: Fleet) -> None:
            fleet.watchers = frozenset()
            await write_slots(fleet.processes['entry-000'], 1, 0)
            await trio.sleep(11 + REPLICATION_LIMIT_SECONDS)
            process = fleet.processes['entry-003']
            write = propose(PROFILE, 'a', {'slots': 2}, 1)
            accepted = (await process.repository.write(write)).unwrap()
            process.follower.adopt(accepted.configuration)
            assert process.follower.current().revision == 2
            fleet.store_faults = DOWN
            started = restart(fleet, 'entry-003')
            revisions = await _sample_revisions(started)
            # It waits for peers with a higher revision, then takes the highest.
            assert revisions[0] == 0
            assert revisions[-1] == 1
            fleet.store_faults = StoreFaults()
            fleet.apply_store_faults()
            revisions.extend(await _sample_revisions(started))
            assert revisions[-1] == 2
            assert revisions == sorted(revisions)
            assert revisions_of(fleet) == {2}

        run(virtual_clock, test)

    def test_partition(self, virtual_clock: MockClock) -> None:
        """A partitioned region catches up once the partition heals."""

        async def test(fleet: Fleet) -> None:
            fleet.cut('region-2')
            for process in fleet.processes.values():
                if process.own.region == 'region-2':
                    process.store.inject(DOWN)
            await replicate_first(fleet, 'entry-000')
            assert revisions_of(fleet) == {0, 1}
            fleet.heal()
            await trio.sleep(REPLICATION_LIMIT_SECONDS)
            assert revisions_of(fleet) == {1}

        run(virtual_clock, test)

    def test_store_that_lost_writes(self, virtual_clock: MockClock) -> None:
        """An older revision in the store is reported and not applied."""

        async def test(fleet: Fleet) -> None:
            process = fleet.processes['entry-000']
            await write_slots(process, 1, 0)
            held = (await process.store.read(HEAD_NAME)).unwrap()
            assert held is not None
            await write_slots(process, 2, 1)
            await trio.sleep(REPLICATION_LIMIT_SECONDS)
            present = (await process.store.read(HEAD_NAME)).unwrap()
            assert present is not None
            await process.store.write(
                HEAD_NAME,
                held.content,
                present.revision,
            )
            await trio.sleep(REPLICATION_LIMIT_SECONDS)
            assert revisions_of(fleet) == {2}
            write = propose(PROFILE, 'a', {'slots': 3}, 1)
            refused = await process.repository.write(write)
            assert refused.is_err()

        events = run(virtual_clock, test)
        assert events.count(ConfigurationStoreBehind) > 0

    @pytest.mark.parametrize(
        'content',
        [
            b'no record',
            pytest.param(
                zlib.compress(b'{"more":%s' % (b'[' * 20_000)), id='nested'
            ),
            encode(HeadRecord())[:-4],
            encode(
                HeadRecord(
                    Configuration(
                        5,
                        {'profile/a': Entity({'slots': 'many'}, 5, 'w')},
                    ),
                ),
            ),
        ],
    )
    def test_undecodable_record(
        self,
        virtual_clock: MockClock,
        content: bytes,
    ) -> None:
        """The active revision stays, and writes fail with a known outcome."""

        async def test(fleet: Fleet) -> None:
            process = fleet.processes['entry-000']
            await write_slots(process, 1, 0)
            await trio.sleep(1)
            head = (await process.store.read(HEAD_NAME)).unwrap()
            assert head is not None
            await process.store.write(HEAD_NAME, content, head.revision)
            await trio.sleep(REPLICATION_LIMIT_SECONDS)
            assert revisions_of(fleet) == {1}
            write = propose(PROFILE, 'a', {'slots': 3}, 1)
            refused = await process.repository.write(write)
            assert refused.is_err()

        events = run(virtual_clock, test)
        assert events.count(ConfigurationDamaged) > 0

    def test_collect_status(self, virtual_clock: MockClock) -> None:
        """The status lists the processes that lag or do not answer."""

        async def test(fleet: Fleet) -> None:
            await replicate_first(fleet, 'entry-000')
            fleet.stop(fleet.processes['entry-004'])
            status = await fleet.processes[
                'entry-001'
            ].follower.collect_status()
            assert status.revision == 1
            assert len(status.processes) == COUNT
            lagging = status.lagging(1)
            assert [process.process for process in lagging] == ['entry-004']
            assert lagging[0].detail == 'connection refused'

        run(virtual_clock, test)
