"""Settings of the identity and location of the process."""

from dataclasses import dataclass

from carobwalk.settings._names import (
    DataCentreField,
    ProcessIdField,
    RegionField,
)


@dataclass(frozen=True, slots=True, kw_only=True)
class Process:
    """Identity and location of the process.

    Args:
        id: Name of the process, unique among all processes.
        region: Region that the process runs in.
        data_centre: Data centre that the process runs in.
    """

    id: ProcessIdField
    region: RegionField
    data_centre: DataCentreField
