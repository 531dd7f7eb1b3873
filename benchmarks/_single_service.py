"""Deployment with one backend server that takes any work."""

from pathlib import Path

from carobwalk.model import DataCentreName, RegionName, ServiceName
from standins.fleet import Deployment, Fleet, FleetService
from standins.processes import Processes

SERVICE = ServiceName('bundle-intake')
SERVER = f'{SERVICE}-1'
SLOTS = 64

_PLACE = DataCentreName('port-of-spain-a')
_LONG_SECONDS = 300


def make_fleet(
    processes: Processes,
    directory: Path,
    server_module: tuple[str, ...],
) -> Fleet:
    """Return a fleet of one backend server and two entries.

    Args:
        processes: Owner of the processes.
        directory: Directory of their files.
        server_module: Module that runs the backend server, and its command.
    """
    limits = {
        'lookup': _LONG_SECONDS,
        'money-bearing-action': _LONG_SECONDS,
        'bulk-upload': _LONG_SECONDS,
    }
    deployment = Deployment(
        name='bench',
        regions={_PLACE: RegionName('port-of-spain')},
        services=(
            FleetService(
                name=SERVICE,
                profile='any-work',
                keyed=False,
                data_centres=(_PLACE,),
            ),
        ),
        entries=(_PLACE, _PLACE),
        profile_fields={'slots': SLOTS, 'time_limits': limits},
        server_module=server_module,
        ownership={
            'heartbeat_seconds': 0.1,
            'grant_seconds': 0.6,
            'lease_seconds': 0.6,
        },
        server_options=(f'--slots={SLOTS}', f'--backlog={SLOTS}'),
    )
    return Fleet(processes, deployment, directory)
