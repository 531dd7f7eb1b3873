"""Small versions of both deployments."""

from types import MappingProxyType

from carobwalk.admin import issue_token
from carobwalk.model import DataCentreName, RegionName, ServiceName
from standins.fleet import Deployment, FleetService

_OWNERSHIP = MappingProxyType(
    {
        'heartbeat_seconds': 0.1,
        'grant_seconds': 0.6,
        'lease_seconds': 0.6,
    },
)

TOKENS = (issue_token('marisol'), issue_token('devon'))

_SPAIN_A = DataCentreName('port-of-spain-a')
_SPAIN_B = DataCentreName('port-of-spain-b')
_ARIMA_A = DataCentreName('arima-a')
_NORTH_A = DataCentreName('north-a')
_NORTH_B = DataCentreName('north-b')

CARONI = Deployment(
    name='caroni',
    regions={
        _SPAIN_A: RegionName('port-of-spain'),
        _SPAIN_B: RegionName('port-of-spain'),
        _ARIMA_A: RegionName('arima'),
    },
    services=(
        FleetService(
            name=ServiceName('case-registry'),
            profile='case-records',
            keyed=True,
            data_centres=(_SPAIN_A, _SPAIN_A, _SPAIN_B, _SPAIN_B),
        ),
        FleetService(
            name=ServiceName('claims-ledger'),
            profile='claims',
            keyed=True,
            data_centres=(_SPAIN_A, _SPAIN_B),
        ),
        FleetService(
            name=ServiceName('bundle-intake'),
            profile='bundles',
            keyed=False,
            data_centres=(_SPAIN_A, _SPAIN_B),
        ),
    ),
    entries=(_SPAIN_A, _SPAIN_B, _SPAIN_B, _ARIMA_A),
    tokens=TOKENS,
    ownership=_OWNERSHIP,
)

DONG_PHUONG = Deployment(
    name='dong-phuong',
    regions={
        _NORTH_A: RegionName('north'),
        _NORTH_B: RegionName('north'),
    },
    services=(
        FleetService(
            name=ServiceName('tien-do'),
            profile='status',
            keyed=True,
            data_centres=(_NORTH_A, _NORTH_B),
        ),
        FleetService(
            name=ServiceName('dat-hang'),
            profile='orders',
            keyed=True,
            data_centres=(_NORTH_A, _NORTH_B),
        ),
        FleetService(
            name=ServiceName('ban-ve'),
            profile='drawings',
            keyed=False,
            data_centres=(_NORTH_A, _NORTH_B),
        ),
    ),
    entries=(_NORTH_A, _NORTH_B, _NORTH_A),
    ownership=_OWNERSHIP,
)
