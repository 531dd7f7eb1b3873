"""Constrained names in settings."""

from typing import Annotated, Final

import msgspec

from carobwalk.model import DataCentreName, ProcessId, RegionName

_MAX_NAME_LENGTH: Final = 64

NAME: Final = msgspec.Meta(
    pattern=r'\A[A-Za-z0-9][A-Za-z0-9._-]*\Z',
    max_length=_MAX_NAME_LENGTH,
    description='1 to 64 ASCII letters, digits, ".", "_" or "-", '
    'the first a letter or digit',
)

ProcessIdField = Annotated[ProcessId, NAME]
RegionField = Annotated[RegionName, NAME]
DataCentreField = Annotated[DataCentreName, NAME]
