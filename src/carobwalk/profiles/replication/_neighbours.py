"""Selection of the peers that a process forwards changes to."""

import bisect
from collections.abc import Iterable

from carobwalk.model import Endpoint


def choose_neighbours(
    own: Endpoint,
    peers: Iterable[Endpoint],
) -> tuple[Endpoint, ...]:
    """Return peers at power-of-two distances on a ring of all processes.

    The ring is ordered by region and data centre, so that most neighbours are
    in the same data centre. A change reaches all of n processes in about
    log2(n) hops over redundant paths, and no process has more than log2(n)
    neighbours, rounded up.

    Args:
        own: Endpoint of this process.
        peers: Endpoints of all processes; this process is ignored.
    """
    others = [peer for peer in peers if peer.name != own.name]
    others.sort(key=_ring_key)
    own_index = bisect.bisect(others, _ring_key(own), key=_ring_key)
    others = others[own_index:] + others[:own_index]
    distances = (1 << power for power in range(len(others).bit_length()))
    return tuple(others[distance - 1] for distance in distances)


def _ring_key(endpoint: Endpoint) -> tuple[str, str, str]:
    return (endpoint.region, endpoint.data_centre, endpoint.name)
