"""Types of the names in settings, with their constraints."""

from typing import Annotated, Final

import msgspec

from carobwalk.model import DataCentreName, ProcessId, RegionName

_MAX_NAME_LENGTH: Final = 64

_NAME_CONSTRAINT: Final = msgspec.Meta(
    pattern=r'\A[A-Za-z0-9][A-Za-z0-9._-]*\Z',
    max_length=_MAX_NAME_LENGTH,
    description='1 to 64 ASCII letters, digits, ".", "_" or "-", '
    'the first a letter or digit',
)

ProcessIdField = Annotated[ProcessId, _NAME_CONSTRAINT]
RegionField = Annotated[RegionName, _NAME_CONSTRAINT]
DataCentreField = Annotated[DataCentreName, _NAME_CONSTRAINT]
