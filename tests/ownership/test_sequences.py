"""Tests of the sequences of a coordinator's pushes."""

from collections import defaultdict

import trio
from trio.testing import MockClock

from carobwalk.ownership._map_push import MapAnswer, MapPush
from carobwalk.store import Host
from standins.fake_fleet import FakeFleet
from standins.fake_fleet_shape import FleetShape

_SHAPE = FleetShape(entries=4, servers=1)
_GONE_SECONDS = 4


class TestPushSequence:
    def test_entry_relisted(self, virtual_clock: MockClock) -> None:
        """Sequences keep increasing for an entry that is listed again."""
        sequences: dict[tuple[str, int], list[int]] = defaultdict(list)

        async def main() -> None:
            async with trio.open_nursery() as nursery:
                fleet = FakeFleet(nursery, _SHAPE)
                fleet.start()
                await fleet.wait_until_served()
                name = _entry_without_roles(fleet)
                maps = fleet.processes[name].role._maps
                receive = maps.receive

                def record_push(push: MapPush) -> MapAnswer:
                    epoch = (push.group, push.epoch)
                    sequences[epoch].append(push.sequence)
                    return receive(push)

                maps.receive = record_push  # type: ignore[method-assign]
                await trio.sleep(1)
                listed = await _hosts(fleet)
                hosts = {host.endpoint.name: host for host in listed}
                fleet.host_list.remove(name)
                await trio.sleep(_GONE_SECONDS)
                fleet.host_list.put(hosts[name])
                await trio.sleep(_GONE_SECONDS)
                nursery.cancel_scope.cancel()

        trio.run(main, clock=virtual_clock)
        assert sequences
        for seen in sequences.values():
            assert seen == sorted(set(seen))


def _entry_without_roles(fleet: FakeFleet) -> str:
    """Return a process that coordinates nothing and dispatches nothing."""
    for name, process in fleet.processes.items():
        snapshot = process.role.snapshot()
        if not snapshot.coordinating and not snapshot.dispatching:
            return name
    raise AssertionError('every process has a role')


async def _hosts(fleet: FakeFleet) -> tuple[Host, ...]:
    return (await fleet.host_list.read()).unwrap()
