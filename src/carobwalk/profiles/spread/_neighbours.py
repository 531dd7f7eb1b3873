"""Choice of the peers that a process passes changes on to."""

import bisect
from collections.abc import Iterable

from carobwalk.model import Endpoint


def choose_neighbours(
    own: Endpoint,
    peers: Iterable[Endpoint],
) -> tuple[Endpoint, ...]:
    """Return peers at power-of-two distances on a ring of all processes.

    The ring is in order of place, so that most neighbours are in the same
    data centre. A change reaches all of n processes in about log2(n) hops,
    over many paths, and no process has more than log2(n) neighbours.

    Args:
        own: This process.
        peers: All processes; this one is left out.
    """
    others = [peer for peer in peers if peer.name != own.name]
    others.sort(key=_place)
    after = bisect.bisect(others, _place(own), key=_place)
    others = others[after:] + others[:after]
    distances = (1 << power for power in range(len(others).bit_length()))
    return tuple(others[distance - 1] for distance in distances)


def _place(endpoint: Endpoint) -> tuple[str, str, str]:
    return (endpoint.region, endpoint.data_centre, endpoint.name)
