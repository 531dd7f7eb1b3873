"""Types of the identifiers used in messages and stored records."""

from typing import NewType

RegionName = NewType('RegionName', str)
DataCentreName = NewType('DataCentreName', str)
ProcessId = NewType('ProcessId', str)
ServerId = NewType('ServerId', str)
ServiceName = NewType('ServiceName', str)
ProfileName = NewType('ProfileName', str)
OperatorName = NewType('OperatorName', str)
RequestId = NewType('RequestId', str)
Key = NewType('Key', str)
ShardNumber = NewType('ShardNumber', int)
