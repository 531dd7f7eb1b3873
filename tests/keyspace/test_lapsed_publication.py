"""Key maps published by a process whose lease has lapsed."""

import trio

from carobwalk.keyspace._codec import map_name
from carobwalk.keyspace._key_map import KeyMap
from carobwalk.model import ServiceName
from tests.keyspace.simulated_fleet import SERVICE, Router, SimulatedFleet


def _record_publications(router: Router) -> list[int]:
    """Return a list to which each published revision is added."""
    revisions: list[int] = []
    publish = router.feed.publish

    def record(service: ServiceName, key_map: KeyMap) -> None:
        revisions.append(key_map.revision)
        publish(service, key_map)

    router.feed.publish = record  # type: ignore[method-assign]
    return revisions


def _revision(fleet: SimulatedFleet) -> int:
    record = fleet.store.records.get(map_name(SERVICE))
    assert record is not None
    return record.revision


class TestFrozenInWrite:
    # Guards against keys that one process refuses for long: it got the record
    # of the successor from the process before, under the same version as a map
    # of the successor with more grants, and later changes left these out.
    def test_successors_record(self, run_scenario) -> None:
        """A process whose lease has lapsed publishes no other's record."""

        async def scenario(fleet: SimulatedFleet) -> None:
            first = fleet.add_router('a')
            await fleet.wait_until_owned()
            await trio.sleep(1)
            second = fleet.add_router('b')
            await trio.sleep(0.5)
            revisions = _record_publications(first)
            own = _revision(fleet)
            first.link.delay = 0.1
            fleet.leave(0)
            await trio.sleep(0.12)
            first.gate.freeze()
            await second.wait_for_role()
            await trio.sleep(1)
            first.gate.thaw()
            await trio.sleep(1)
            assert max(revisions, default=own) == own

        run_scenario(scenario)
