"""Relays that are cut off from the store, and what their followers know.

Pattern: one machine is partitioned from the store, without a reset, and the
operator changes the configuration, or a server leaves, just after.
"""

import pytest
import trio

from tests.relay.relay_fleet import (
    BOUND_SECONDS,
    RelayFleet,
    fleet_without,
)

_START_SECONDS = 3
# Phases of the cut within the periods of watches and renewals, in seconds.
_PHASES = (0.01, 0.17, 0.31, 0.48, 0.66, 0.83)
_ALL_CALLS: frozenset[str] = frozenset()
_WATCHES = frozenset(('watch_records',))
_RENEWALS = frozenset(('keep_alive',))


class TestSilentStore:
    # Guards against requests handled by an old configuration: a watch that
    # hung at a relay counted as reading, until its lease had lapsed.
    @pytest.mark.parametrize('regions', [1, 3])
    @pytest.mark.parametrize('phase', _PHASES)
    @pytest.mark.parametrize('calls', [_ALL_CALLS, _WATCHES, _RENEWALS])
    def test_one_relay(
        self,
        run_scenario,
        regions: int,
        phase: float,
        calls: frozenset[str],
    ) -> None:
        """Followers of a relay whose calls hang know a change in time.

        The same if only its watches hang, or only its renewals.
        """

        async def scenario(fleet: RelayFleet) -> None:
            fleet.put('a')
            fleet.start_all(regions, 4)
            await trio.sleep(_START_SECONDS + phase)
            relay = fleet.relays(0)[0]
            relay.link.silent_calls = calls
            relay.link.silence.freeze()
            await trio.sleep(0.1)
            fleet.put('b')
            await fleet_without(fleet, relay).wait_until_known(BOUND_SECONDS)

        run_scenario(scenario)

    @pytest.mark.parametrize('phase', _PHASES)
    def test_all_relays(self, run_scenario, phase: float) -> None:
        """The same if the relays of all regions are cut off at once."""

        async def scenario(fleet: RelayFleet) -> None:
            fleet.put('a')
            fleet.start_all(3, 4)
            await trio.sleep(_START_SECONDS + phase)
            cut = fleet.relays()
            for relay in cut:
                relay.link.silence.freeze()
            await trio.sleep(0.1)
            fleet.put('b')
            view = fleet
            for relay in cut:
                view = fleet_without(view, relay)
            await view.wait_until_known(BOUND_SECONDS)

        run_scenario(scenario)

    @pytest.mark.parametrize('phase', _PHASES)
    def test_frozen_relay(self, run_scenario, phase: float) -> None:
        """The same if the only relay is frozen."""

        async def scenario(fleet: RelayFleet) -> None:
            fleet.put('a')
            fleet.start_all(1, 4)
            await trio.sleep(_START_SECONDS + phase)
            relay = fleet.relays()[0]
            relay.gate.freeze()
            await trio.sleep(0.1)
            fleet.put('b')
            await fleet_without(fleet, relay).wait_until_known(BOUND_SECONDS)

        run_scenario(scenario)

    @pytest.mark.parametrize('phase', _PHASES)
    def test_coordinator(self, run_scenario, phase: float) -> None:
        """A process that reads the store itself notices a lost answer."""
        # Guards against a watch that waits half a minute for an answer that
        # was lost, while all other calls are answered.

        async def scenario(fleet: RelayFleet) -> None:
            fleet.put('a')
            fleet.start_all(1, 4)
            node = fleet.nodes[0]
            node.is_coordinator = True
            await trio.sleep(_START_SECONDS + phase)
            node.link.silent_calls = _WATCHES
            node.link.silence.freeze()
            await trio.sleep(0.1)
            fleet.put('b')
            await fleet.wait_until_known(BOUND_SECONDS)

        run_scenario(scenario)


class TestRemovedServer:
    def test_no_grace_for_a_lost_relay(self, run_scenario) -> None:
        """A server that left is gone, though the relay was lost meanwhile."""
        # Guards against a leaving server that gets requests for too long: the
        # loss of a relay passed for an outage of the store, in which entries
        # lapse that come back.

        async def scenario(fleet: RelayFleet) -> None:
            fleet.put('a')
            fleet.put('b')
            fleet.start_all(1, 4)
            await trio.sleep(_START_SECONDS)
            relay = fleet.relays()[0]
            relay.link.silence.freeze()
            fleet.remove('a')
            view = fleet_without(fleet, relay)
            await view.wait_until_known(BOUND_SECONDS)
            for node in view.nodes:
                assert not node.records.missing_after_outage

        run_scenario(scenario)


class TestSlowStore:
    def test_relays_are_kept(self, run_scenario) -> None:
        """A store that answers slowly costs no reads of all processes."""

        async def scenario(fleet: RelayFleet) -> None:
            fleet.put('a')
            fleet.start_all(3, 4)
            await trio.sleep(_START_SECONDS)
            for node in fleet.nodes:
                node.link.read_delay = 0.25
            relays = len(fleet.relays())
            calls = fleet.store.calls
            seconds = 10
            await trio.sleep(seconds)
            watches = seconds / (0.45 * BOUND_SECONDS) + 2
            renewals = seconds / (0.2 * BOUND_SECONDS) + 2
            assert fleet.store.calls - calls < relays * (watches + renewals)

        run_scenario(scenario)
