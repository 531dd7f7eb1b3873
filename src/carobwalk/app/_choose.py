"""Choice among the backend servers of unkeyed work."""

import itertools

from carobwalk.model import Endpoint, Placement


class Chooser:
    """Takes turns among the nearest candidates.

    Candidates of this process's data centre come first, then those of its
    region, since bytes between regions are billed.

    Args:
        own: This process.
    """

    def __init__(self, own: Endpoint) -> None:
        self._own = own
        self._turn = itertools.count()

    def __call__(self, candidates: tuple[Placement, ...]) -> Placement:
        """Return one of the candidates.

        Args:
            candidates: At least one placement.
        """
        nearest = min(map(self._distance, candidates))
        close = [
            candidate
            for candidate in candidates
            if self._distance(candidate) == nearest
        ]
        return close[next(self._turn) % len(close)]

    def _distance(self, candidate: Placement) -> int:
        server = candidate.server
        is_other_region = server.region != self._own.region
        is_other_centre = server.data_centre != self._own.data_centre
        return int(is_other_region) + int(is_other_centre)
