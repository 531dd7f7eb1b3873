"""Tests of the selection of neighbours."""

from benchmarks._config_fleet import make_endpoints
from carobwalk.profiles.replication._neighbours import choose_neighbours


class TestNeighbours:
    """Selection of neighbours."""

    def test_all_processes_are_reached_in_ten_hops(self) -> None:
        """A change reaches 740 processes within ten hops."""
        endpoints = make_endpoints(740)
        by_name = {
            endpoint.name: choose_neighbours(endpoint, endpoints)
            for endpoint in endpoints
        }
        assert max(map(len, by_name.values())) == 10
        reached = {endpoints[0].name}
        for _ in range(10):
            reached |= {peer.name for name in reached for peer in by_name[name]}
        assert len(reached) == 740

    def test_single_process(self) -> None:
        """A process without peers has no neighbours."""
        own = make_endpoints(1)
        assert not choose_neighbours(own[0], own)
