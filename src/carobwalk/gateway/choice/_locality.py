"""Network distance from this process to backend servers."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final

from carobwalk.model import DataCentreName, RegionName

_SECONDS_PER_BYTE: Final = 15e-6
_MIN_PENALTY_SECONDS: Final = 0.02
_MAX_PENALTY_SECONDS: Final = 0.5
_OTHER_REGION_SECONDS: Final = 0.02
# How much later an answer may come, as a share of its target latency, so that
# the request stays in its region.
_OTHER_REGION_TARGET_SHARE: Final = 0.1


@dataclass(frozen=True, slots=True)
class Locality:
    """Location of this process and the cost of reaching other locations.

    Args:
        data_centre: Data centre of this process.
        regions_by_data_centre: Region of each data centre.
    """

    data_centre: DataCentreName
    regions_by_data_centre: Mapping[DataCentreName, RegionName]

    def distance(self, other: DataCentreName) -> int:
        """Return 0 for the own data centre, 1 in its region, 2 elsewhere."""
        if other == self.data_centre:
            return 0
        regions = self.regions_by_data_centre
        is_near = regions.get(other) == regions.get(self.data_centre)
        return 1 if is_near else 2

    def latency_penalty(
        self,
        other: DataCentreName,
        body_bytes: int,
        target_latency: float,
    ) -> float:
        """Return the latency in seconds to add to that of a remote server.

        Links between data centres are billed by volume, so the penalty rises
        with the size of the body. Callers gain little by an answer that comes
        somewhat sooner before its target, so work stays in its region for it.

        Args:
            other: Data centre of the server.
            body_bytes: Size of the body of the request.
            target_latency: Target latency of the request in seconds.
        """
        if other == self.data_centre:
            return 0
        cost = _MIN_PENALTY_SECONDS + body_bytes * _SECONDS_PER_BYTE
        cost = min(cost, _MAX_PENALTY_SECONDS)
        regions = self.regions_by_data_centre
        if regions.get(other) == regions.get(self.data_centre):
            return cost
        accepted = target_latency * _OTHER_REGION_TARGET_SHARE
        return cost + max(accepted, _OTHER_REGION_SECONDS)
