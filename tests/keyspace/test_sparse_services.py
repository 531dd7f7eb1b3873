"""Services whose servers a process seldom hears of."""

from carobwalk.keyspace._sparse_services import SparseServices
from carobwalk.model import ServiceName
from tests.keyspace.simulated_fleet import make_server

SERVICE = ServiceName('orders')
INTERVAL = 0.25


def _run(
    sparse: SparseServices,
    rate: float,
    processes: int,
    servers: int,
    seconds: float,
) -> bool:
    incarnations = [
        make_server(number).incarnation for number in range(servers)
    ]
    services = dict.fromkeys(incarnations, SERVICE)
    answers = {incarnations[0]: round(rate * INTERVAL)}
    for _ in range(round(seconds / INTERVAL)):
        sparse.update(INTERVAL, answers, services, processes)
    return SERVICE in sparse


class TestSparseServices:
    def test_many_processes(self) -> None:
        """284 requests a second of 90 processes to 54 servers are sparse."""
        assert _run(SparseServices(), 284, 90, 54, 2)

    def test_few_processes(self) -> None:
        """88 requests a second of 12 processes to 12 servers are not.

        Guards against a change of small deployments, whose processes know
        their servers better than a digest of half a second ago.
        """
        assert not _run(SparseServices(), 88, 12, 12, 2)

    def test_burst(self) -> None:
        """A burst of two seconds doesn't make a service dense."""
        sparse = SparseServices()
        _run(sparse, 284, 90, 54, 6)
        assert _run(sparse, 284 * 3, 90, 54, 2)

    def test_growth(self) -> None:
        """A service becomes dense when its processes hear of it often."""
        sparse = SparseServices()
        _run(sparse, 284, 90, 54, 6)
        assert not _run(sparse, 284, 12, 12, 6)

    def test_forgotten(self) -> None:
        """A service without servers is forgotten."""
        sparse = SparseServices()
        _run(sparse, 284, 90, 54, 2)
        sparse.update(INTERVAL, {}, {}, 90)
        assert SERVICE not in sparse
