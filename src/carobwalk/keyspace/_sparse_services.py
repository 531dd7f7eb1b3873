"""Services of whose servers a single process hears too little."""

import math
from collections import Counter
from collections.abc import Mapping
from typing import Final

from carobwalk.directory import ServerIncarnation
from carobwalk.model import ServiceName

# Time with which a process's own observation of a server loses its weight.
_OBSERVATION_SECONDS: Final = 3.0
_SMOOTHING_SECONDS: Final = 3.0
# Requests of one process to one server within that time. Between the two, a
# service stays what it was.
_SPARSE_BELOW: Final = 0.8
_DENSE_ABOVE: Final = 1.25


class SparseServices:
    """Tells where the load that all processes observe is worth its cost.

    Where a process sends each server a request every few seconds, what it sees
    itself is newer than what a coordinator can tell it.
    """

    def __init__(self) -> None:
        self._rates: dict[ServiceName, float] = {}
        self._sparse: set[ServiceName] = set()

    def __contains__(self, service: ServiceName) -> bool:
        """Return whether a service is sparse."""
        return service in self._sparse

    def update(
        self,
        length: float,
        answers: Mapping[ServerIncarnation, int],
        services: Mapping[ServerIncarnation, ServiceName],
        processes: int,
    ) -> None:
        """Add the answers of an interval.

        Args:
            length: Length of the interval in seconds.
            answers: Answers of each server in it, to all processes.
            services: Service of each server; services not named are forgotten.
            processes: Number of processes.
        """
        answered: Counter[ServiceName] = Counter()
        for incarnation, service in services.items():
            answered[service] += answers.get(incarnation, 0)
        rates = {}
        for name, servers in Counter(services.values()).items():
            rate = self._smoothed(name, answered[name] / length, length)
            rates[name] = rate
            pairs = max(servers * processes, 1)
            self._classify(name, rate * _OBSERVATION_SECONDS / pairs)
        self._rates = rates
        self._sparse.intersection_update(rates)

    def _smoothed(
        self, service: ServiceName, rate: float, length: float
    ) -> float:
        known = self._rates.get(service, rate)
        weight = 1 - math.exp(-length / _SMOOTHING_SECONDS)
        return known + (rate - known) * weight

    def _classify(self, service: ServiceName, heard: float) -> None:
        if heard < _SPARSE_BELOW:
            self._sparse.add(service)
        elif heard > _DENSE_ABOVE:
            self._sparse.discard(service)
