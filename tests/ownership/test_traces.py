"""Short fault sequences that lead to two owners if one rule is disabled."""

from collections.abc import Awaitable, Callable
from dataclasses import replace

import pytest
import trio
from trio.testing import MockClock

from carobwalk.ownership import SafetyRules
from standins.fake_fleet import FakeFleet
from standins.fake_fleet_shape import FleetShape
from standins.memory_store import StoreFaults
from tests.ownership.chaos import start_server, stop_server
from tests.ownership.shard_scenario import ShardScenario

Trace = Callable[[ShardScenario], Awaitable[None]]


def violations(trace: Trace, rules: SafetyRules) -> list[object]:
    """Run a trace and return the recorded violations of single ownership."""
    shape = FleetShape(shards_per_server=1, rules=rules)

    async def main() -> list[object]:
        async with trio.open_nursery() as nursery:
            fleet = FakeFleet(nursery, shape)
            fleet.start()
            await fleet.wait_until_served()
            await trio.sleep(1)
            await trace(ShardScenario(fleet))
            # Longer than the absence timeout of the host list.
            await trio.sleep(12)
            found = list(fleet.record.violations)
            nursery.cancel_scope.cancel()
        return found

    return trio.run(main, clock=MockClock(autojump_threshold=0))


async def lose_store(scenario: ShardScenario) -> None:
    """Cut the coordinator off from the store; servers agree to autonomy."""
    client = scenario.coordinator.store.client
    client.inject(StoreFaults(down=True, timeout=1))
    await trio.sleep(1)


async def owner_frozen(scenario: ShardScenario) -> None:
    """Freeze the owner and resume it before its grant expires."""
    scenario.network.freeze(scenario.owner)
    await trio.sleep(0.45)
    scenario.network.thaw(scenario.owner)


async def partitioned_without_store(scenario: ShardScenario) -> None:
    """Partition the coordinator with the successor, without the store."""
    client = scenario.coordinator.store.client
    client.inject(StoreFaults(down=True, timeout=1))
    scenario.isolate(scenario.successor)


async def partitioned_when_autonomous(scenario: ShardScenario) -> None:
    """Partition the coordinator with the successor after autonomy."""
    await lose_store(scenario)
    scenario.isolate(scenario.successor)


async def successor_restarted(scenario: ShardScenario) -> None:
    """Restart a fenced successor that then reaches the old coordinator only."""
    await lose_store(scenario)
    scenario.isolate()
    await scenario.wait_for_new_coordinator()
    stop_server(scenario.fleet, scenario.successor)
    start_server(scenario.fleet, scenario.successor)
    scenario.cut({scenario.successor}, scenario.others)
    scenario.reconnect({scenario.successor}, {scenario.coordinator.name})


async def write_by_deposed(scenario: ShardScenario) -> None:
    """Partition the coordinator with a third server and the store."""
    third = scenario.third_server()
    scenario.isolate(third)


async def reply_lost(scenario: ShardScenario) -> None:
    """Lose the reply to a write that names a third server, then the owner."""
    third = scenario.third_server()
    client = scenario.coordinator.store.client
    client.inject(StoreFaults(lost_replies=1, timeout=1))
    scenario.shard.target = scenario.holder(third)
    await scenario.fleet.wait_until(lambda: bool(client.counts.writes), 1)
    await trio.sleep(0.03)
    client.inject(StoreFaults(down=True, timeout=1))
    await lose_owner_and_partition(scenario)


async def write_delayed(scenario: ShardScenario) -> None:
    """Let a write take effect after the record was read again."""
    third = scenario.third_server()
    client = scenario.coordinator.store.client
    client.inject(StoreFaults(holds_writes=True, timeout=0.01))
    scenario.shard.target = scenario.holder(third)
    await trio.sleep(0.1)
    client.inject(StoreFaults(down=True, timeout=1))
    stop_server(scenario.fleet, scenario.owner)
    scenario.fleet.host_list.remove(scenario.owner)
    await trio.sleep(1)
    client.release_held()
    scenario.isolate(scenario.successor)


async def lose_owner_and_partition(scenario: ShardScenario) -> None:
    """Remove the owner and partition the coordinator with the successor."""
    stop_server(scenario.fleet, scenario.owner)
    scenario.fleet.host_list.remove(scenario.owner)
    scenario.isolate(scenario.successor)
    await trio.sleep(0)


async def late_fence(scenario: ShardScenario) -> None:
    """Let the new coordinator fence the successor after its activation."""
    await lose_store(scenario)
    scenario.isolate(scenario.successor)
    await trio.sleep(0.72)
    scenario.reconnect({scenario.successor}, scenario.others)


async def order_overtaken(scenario: ShardScenario) -> None:
    """Deliver an order that lists the shard after the shard's release."""
    link = scenario.state.links[scenario.holder(scenario.owner).server]
    pair = (scenario.coordinator.name, scenario.owner)
    scenario.network.delays[pair] = 0.35
    sent = link.sequence
    await scenario.fleet.wait_until(lambda: link.sequence > sent, 1)
    await trio.sleep(0.01)
    scenario.network.delays.clear()
    scenario.fleet.servers[scenario.owner].table.leaving = True


async def orders_delayed(scenario: ShardScenario) -> None:
    """Deliver renewals long after the owner's grant expired."""
    pair = (scenario.coordinator.name, scenario.owner)
    scenario.network.delays[pair] = 0.9


TRACES = (
    ('wait_for_expiry', owner_frozen),
    ('fence_both', partitioned_when_autonomous),
    ('store_check', partitioned_without_store),
    ('incarnation', successor_restarted),
    ('epoch_guard', write_by_deposed),
    ('settle_write', reply_lost),
    ('settle_write', write_delayed),
    ('token_order', late_fence),
    ('order_sequence', order_overtaken),
    ('echo', orders_delayed),
)


class TestTraces:
    @pytest.mark.parametrize(('rule', 'trace'), TRACES)
    def test_rules_in_force(self, rule: str, trace: Trace) -> None:
        """With all rules in force the trace never leads to two owners."""
        assert violations(trace, SafetyRules()) == []

    @pytest.mark.parametrize(('rule', 'trace'), TRACES)
    def test_rule_disabled(self, rule: str, trace: Trace) -> None:
        """With the rule disabled the same trace leads to two owners."""
        disabled = replace(SafetyRules(), **{rule: False})
        assert violations(trace, disabled) != []
