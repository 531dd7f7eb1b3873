"""Tests of the relaying of records from the store to all processes.

Pattern: hundreds of processes that all have to know each change of the
registry and the configuration, and a store that counts and limits calls.
"""

import pytest
import trio

from carobwalk.relay import RelayHost
from tests.relay.relay_fleet import Node, RelayFleet, fleet_without

_REGIONS = 3
_START_SECONDS = 3
_LEASE_SECONDS = 2.5
# Until a process notices that its relay is gone, and asks another one.
_NOTICE_SECONDS = 1.0
# Time within which a leaving server must be known, less that of a handover.
_NEWS_SECONDS = 0.5


async def _calls_of_changes(fleet: RelayFleet, each: int) -> int:
    """Start a fleet, and return its calls for a series of changes."""
    fleet.put('a')
    fleet.start_all(_REGIONS, each)
    await trio.sleep(_START_SECONDS)
    calls = fleet.store.calls
    for number in range(60):
        await trio.sleep(0.1)
        fleet.put(f's{number}')
    await fleet.wait_until_known(_NEWS_SECONDS)
    return fleet.store.calls - calls


def _node(fleet: RelayFleet, region: int, *, relaying: bool) -> Node:
    return next(
        node
        for node in fleet.nodes
        if node.own.region == f'r{region}' and node.is_relaying == relaying
    )


class TestCalls:
    def test_independent_of_processes(self, run_scenario) -> None:
        """Changes cost as many calls with 8 times the processes."""
        # Guards against calls to the store that grow with the fleet: three
        # watches of each of 195 processes made 10,638 calls in a day.
        calls = []

        async def scenario(fleet: RelayFleet) -> None:
            calls.append(await _calls_of_changes(fleet, 2))

        async def large_scenario(fleet: RelayFleet) -> None:
            calls.append(await _calls_of_changes(fleet, 16))

        run_scenario(scenario)
        run_scenario(large_scenario)
        small, large = calls
        assert large <= small * 1.2

    def test_outage(self, run_scenario) -> None:
        """In an outage each process probes the store, not each follower."""

        async def scenario(fleet: RelayFleet) -> None:
            fleet.put('a')
            fleet.start_all(_REGIONS, 8)
            await trio.sleep(_START_SECONDS)
            fleet.store.is_down = True
            fleet.store.records.notify()
            calls = fleet.store.calls
            await trio.sleep(4)
            followers = 8 * _REGIONS - _REGIONS
            probes = 4 + 4 / 0.75
            relays = _REGIONS * (4 / 0.25 + 4 / 0.5)
            assert fleet.store.calls - calls < followers * probes + relays
            fleet.store.is_down = False
            fleet.put('b')
            await fleet.wait_until_known(2.5)

        run_scenario(scenario)

    def test_start(self, run_scenario) -> None:
        """All start at once: few of them read more than the relays' names."""
        # Guards against a start of hundreds of processes that each list and
        # watch every prefix.

        async def scenario(fleet: RelayFleet) -> None:
            fleet.put('a')
            fleet.start_all(_REGIONS, 30)
            await fleet.wait_until_known(_START_SECONDS)
            assert fleet.store.calls < 3 * 30 * _REGIONS

        run_scenario(scenario)


class TestNews:
    def test_during_a_series(self, run_scenario) -> None:
        """A change in a series is known everywhere within half a second."""
        # Guards against a leaving server that gets requests for too long: a
        # process learned of it 1.0 s late, as its own watch was paced.

        async def scenario(fleet: RelayFleet) -> None:
            fleet.put('a')
            fleet.start_all(_REGIONS, 4)
            await trio.sleep(_START_SECONDS)
            for number in range(40):
                fleet.put('a', str(number).encode())
                await trio.sleep(0.05)
            fleet.put('a', b'leaving')
            await fleet.wait_until_known(_NEWS_SECONDS)

        run_scenario(scenario)

    def test_relay_killed(self, run_scenario) -> None:
        """Without its relay, a region learns from those of others."""

        async def scenario(fleet: RelayFleet) -> None:
            fleet.put('a')
            fleet.start_all(_REGIONS, 4)
            await trio.sleep(_START_SECONDS)
            fleet.kill(_node(fleet, 0, relaying=True))
            fleet.put('b')
            await fleet.wait_until_known(_NOTICE_SECONDS)
            await trio.sleep(4)
            assert len(fleet.relays(0)) == 1

        run_scenario(scenario)

    def test_relay_hangs(self, run_scenario) -> None:
        """A relay that hangs is given up at the next change."""
        # Guards against a leaving server that gets requests for too long: a
        # relay that is frozen or cut off would delay the news by seconds.

        async def scenario(fleet: RelayFleet) -> None:
            fleet.put('a')
            fleet.start_all(_REGIONS, 4)
            await trio.sleep(_START_SECONDS)
            relay = _node(fleet, 0, relaying=True)
            relay.gate.freeze()
            fleet.put('b')
            fleet.nodes.remove(relay)
            await fleet.wait_until_known(_NEWS_SECONDS)

        run_scenario(scenario)

    def test_all_relays_killed(self, run_scenario) -> None:
        """Without any relay, processes read the store until there is one."""

        async def scenario(fleet: RelayFleet) -> None:
            fleet.put('a')
            fleet.start_all(_REGIONS, 4)
            await trio.sleep(_START_SECONDS)
            for relay in fleet.relays():
                fleet.kill(relay)
            fleet.put('b')
            await fleet.wait_until_known(_NOTICE_SECONDS)
            await trio.sleep(4)
            assert len(fleet.relays()) == _REGIONS

        run_scenario(scenario)

    def test_resignation(self, run_scenario) -> None:
        """A relay that stops is replaced at once."""

        async def scenario(fleet: RelayFleet) -> None:
            fleet.start_all(1, 4)
            await trio.sleep(_START_SECONDS)
            relay = _node(fleet, 0, relaying=True)
            await relay.relay.role.resign()
            fleet.kill(relay)
            await trio.sleep(_NOTICE_SECONDS)
            assert len(fleet.relays()) == 1

        run_scenario(scenario)

    def test_region_cut_from_store(self, run_scenario) -> None:
        """A region that the store turns away learns from its peers."""

        async def scenario(fleet: RelayFleet) -> None:
            fleet.put('a')
            fleet.start_all(_REGIONS, 4)
            await trio.sleep(_START_SECONDS)
            cut = [node for node in fleet.nodes if node.own.region == 'r0']
            for node in cut:
                node.link.is_cut = True
            # Calls that wait are cut as well.
            fleet.store.records.compact()
            fleet.put('b')
            await fleet.wait_until_known(2 * _NOTICE_SECONDS)
            fleet.put('c')
            await fleet.wait_until_known(_NOTICE_SECONDS)

        run_scenario(scenario)

    def test_lost_messages(self, run_scenario) -> None:
        """Processes that reach no relay read the store."""

        async def scenario(fleet: RelayFleet) -> None:
            fleet.put('a')
            fleet.start_all(2, 4)
            await trio.sleep(_START_SECONDS)
            fleet.peers.loss = 1
            await trio.sleep(_NOTICE_SECONDS)
            fleet.put('b')
            await fleet.wait_until_known(3 * _NOTICE_SECONDS)

        run_scenario(scenario)


class TestOldState:
    def test_thawed_relay(self, run_scenario) -> None:
        """A relay that was frozen serves nothing before it has read again."""

        async def scenario(fleet: RelayFleet) -> None:
            fleet.put('a')
            fleet.start_all(1, 4)
            await trio.sleep(_START_SECONDS)
            relay = _node(fleet, 0, relaying=True)
            relay.gate.freeze()
            await trio.sleep(3)
            fleet.remove('a')
            await fleet_without(fleet, relay).wait_until_known(_NOTICE_SECONDS)
            relay.gate.thaw()
            for _ in range(100):
                await trio.sleep(0.01)
                for node in fleet.nodes:
                    if node is not relay:
                        assert not node.records.by_name

        run_scenario(scenario)

    def test_frozen_for_longer_than_its_lease(self, run_scenario) -> None:
        """A relay is not fresh once its lease may have lapsed."""

        async def scenario(fleet: RelayFleet) -> None:
            fleet.start_all(1, 2)
            await trio.sleep(_START_SECONDS)
            relay = _node(fleet, 0, relaying=True)
            relay.gate.freeze()
            await trio.sleep(_LEASE_SECONDS)
            assert not relay.is_relaying

        run_scenario(scenario)

    def test_cut_off_relay(self, run_scenario) -> None:
        """A relay whose reads fail is not fresh, whatever its lease."""

        async def scenario(fleet: RelayFleet) -> None:
            fleet.put('a')
            fleet.start_all(1, 2)
            await trio.sleep(_START_SECONDS)
            relay = _node(fleet, 0, relaying=True)
            relay.link.is_cut = True
            fleet.put('b')
            await trio.sleep(0.2)
            assert not relay.is_relaying

        run_scenario(scenario)

    def test_restarted_relay(self, run_scenario) -> None:
        """A relay with an empty memory makes nobody forget a removal."""

        async def scenario(fleet: RelayFleet) -> None:
            fleet.put('a')
            fleet.put('b')
            fleet.start_all(1, 4)
            await trio.sleep(_START_SECONDS)
            relay = _node(fleet, 0, relaying=True)
            fleet.kill(relay)
            fleet.remove('a')
            fleet.start(relay.own.name)
            for _ in range(400):
                await trio.sleep(0.01)
                _check_order(fleet)
            await fleet.wait_until_known(_NOTICE_SECONDS)

        run_scenario(scenario)

    @pytest.mark.parametrize('is_new', [False, True])
    def test_lagging_relay(self, run_scenario, is_new: bool) -> None:
        """A relay with a silent store misleads nobody, and no new process."""
        # Guards against a server that left, or a withdrawn route, in use again
        # after a restart: the first relay that was asked had missed it.

        async def scenario(fleet: RelayFleet) -> None:
            fleet.put('a')
            fleet.put('b')
            fleet.start_all(_REGIONS, 3)
            await trio.sleep(_START_SECONDS)
            relay = _node(fleet, 0, relaying=True)
            relay.link.silence.freeze()
            fleet.remove('a')
            # It doesn't know yet that it is cut off.
            assert relay.is_relaying
            if is_new:
                await trio.sleep(_NEWS_SECONDS)
                fleet.start('new')
            view = fleet_without(fleet, relay)
            await view.wait_until_known(_NEWS_SECONDS)

        run_scenario(scenario)

    def test_compacted_history(self, run_scenario) -> None:
        """A loss of the store's history costs the others no listing."""

        async def scenario(fleet: RelayFleet) -> None:
            fleet.put('a')
            fleet.start_all(1, 8)
            await trio.sleep(_START_SECONDS)
            calls = fleet.store.calls
            fleet.store.records.compact()
            fleet.remove('a')
            await fleet.wait_until_known(_NEWS_SECONDS)
            # Each prefix is listed and watched again by the relay alone.
            assert fleet.store.calls - calls <= 8
            _check_order(fleet)

        run_scenario(scenario)

    def test_entries_that_lapsed_in_an_outage(self, run_scenario) -> None:
        """All processes are told that an entry may be missing for an outage."""

        async def scenario(fleet: RelayFleet) -> None:
            fleet.put('a')
            fleet.put('b')
            fleet.start_all(1, 4)
            await trio.sleep(_START_SECONDS)
            fleet.store.is_down = True
            fleet.store.records.notify()
            await trio.sleep(3)
            fleet.remove('a')
            fleet.store.is_down = False
            await fleet.wait_until_known(2.5)
            for node in fleet.nodes:
                assert node.records.missing_after_outage == {'servers/a'}

        run_scenario(scenario)


class TestRole:
    def test_one_relay_a_region(self, run_scenario) -> None:
        """All start at once, and each region has one relay."""

        async def scenario(fleet: RelayFleet) -> None:
            fleet.start_all(_REGIONS, 8)
            await trio.sleep(_START_SECONDS)
            for region in range(_REGIONS):
                assert len(fleet.relays(region)) == 1

        run_scenario(scenario)

    def test_spare_host_relays(self, run_scenario) -> None:
        """Hosts with a slow processor or a thin link leave the role."""

        async def scenario(fleet: RelayFleet) -> None:
            for number in range(4):
                fleet.start(f'slow{number}', host=RelayHost(0.4, 100))
                fleet.start(f'thin{number}', host=RelayHost(1, 10))
            spare = fleet.start('spare', host=RelayHost(2, 100))
            await trio.sleep(_START_SECONDS)
            assert fleet.relays() == [spare]

        run_scenario(scenario)

    def test_coordinator_reads_itself(self, run_scenario) -> None:
        """The coordinator doesn't depend on a relay."""

        async def scenario(fleet: RelayFleet) -> None:
            fleet.put('a')
            fleet.start_all(1, 4)
            await trio.sleep(_START_SECONDS)
            coordinator = _node(fleet, 0, relaying=False)
            coordinator.is_coordinator = True
            await trio.sleep(_NOTICE_SECONDS)
            fleet.peers.loss = 1
            fleet.put('b')
            await trio.sleep(0.05)
            assert 'servers/b' in coordinator.records.by_name

        run_scenario(scenario)


def _check_order(fleet: RelayFleet) -> None:
    """Check that no process went back to an older revision."""
    for node in fleet.nodes:
        assert node.records.revisions == sorted(node.records.revisions)
