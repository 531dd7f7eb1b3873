"""Distance from this process to backend servers."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final

from carobwalk.model import DataCentreName, RegionName

_SECONDS_PER_BYTE: Final = 15e-6
_LEAST_SECONDS: Final = 0.02
_MOST_SECONDS: Final = 0.5
_OTHER_REGION_SECONDS: Final = 0.02


@dataclass(frozen=True, slots=True)
class Place:
    """Where this process is, and what a way from there costs.

    Args:
        data_centre: Data centre of the process.
        regions_by_data_centre: Region of each data centre.
    """

    data_centre: DataCentreName
    regions_by_data_centre: Mapping[DataCentreName, RegionName]

    def penalty(self, other: DataCentreName, body_bytes: int) -> float:
        """Return the extra latency in seconds that a nearer server is worth.

        Links between data centres are billed by volume, so it rises with the
        size of the body.
        """
        if other == self.data_centre:
            return 0
        cost = _LEAST_SECONDS + body_bytes * _SECONDS_PER_BYTE
        regions = self.regions_by_data_centre
        if regions.get(other) != regions.get(self.data_centre):
            cost += _OTHER_REGION_SECONDS
        return min(cost, _MOST_SECONDS)
