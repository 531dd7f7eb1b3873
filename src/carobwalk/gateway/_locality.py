"""Network distance from this process to backend servers."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final

from carobwalk.model import DataCentreName, RegionName

_SECONDS_PER_BYTE: Final = 15e-6
_MIN_PENALTY_SECONDS: Final = 0.02
_MAX_PENALTY_SECONDS: Final = 0.5
_OTHER_REGION_SECONDS: Final = 0.02


@dataclass(frozen=True, slots=True)
class Locality:
    """Location of this process and the cost of reaching other locations.

    Args:
        data_centre: Data centre of this process.
        regions_by_data_centre: Region of each data centre.
    """

    data_centre: DataCentreName
    regions_by_data_centre: Mapping[DataCentreName, RegionName]

    def latency_penalty(self, other: DataCentreName, body_bytes: int) -> float:
        """Return the latency in seconds to add to that of a remote server.

        Links between data centres are billed by volume, so the penalty rises
        with the size of the body.

        Args:
            other: Data centre of the server.
            body_bytes: Size of the body of the request.
        """
        if other == self.data_centre:
            return 0
        cost = _MIN_PENALTY_SECONDS + body_bytes * _SECONDS_PER_BYTE
        regions = self.regions_by_data_centre
        if regions.get(other) != regions.get(self.data_centre):
            cost += _OTHER_REGION_SECONDS
        return min(cost, _MAX_PENALTY_SECONDS)
