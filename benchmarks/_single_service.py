"""Deployment with one backend server for requests of all ranks."""

from pathlib import Path

from carobwalk.model import DataCentreName, RegionName, ServiceName
from standins.fleet import Deployment, Fleet, FleetService
from standins.processes import Processes

SERVICE = ServiceName('bundle-intake')
SERVER = f'{SERVICE}-1'
SLOTS = 64

_DATA_CENTRE = DataCentreName('port-of-spain-a')
_TIME_LIMIT_SECONDS = 300


def make_fleet(
    processes: Processes,
    directory: Path,
    server_module: tuple[str, ...],
) -> Fleet:
    """Return a fleet of one backend server and two entries.

    Args:
        processes: Starts and stops the processes.
        directory: Directory of the files of the processes.
        server_module: Module that runs the backend server, and its command.
    """
    limits = {
        'lookup': _TIME_LIMIT_SECONDS,
        'money-bearing-action': _TIME_LIMIT_SECONDS,
        'bulk-upload': _TIME_LIMIT_SECONDS,
    }
    deployment = Deployment(
        name='bench',
        regions={_DATA_CENTRE: RegionName('port-of-spain')},
        services=(
            FleetService(
                name=SERVICE,
                profile='any-work',
                keyed=False,
                data_centres=(_DATA_CENTRE,),
            ),
        ),
        entries=(_DATA_CENTRE, _DATA_CENTRE),
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
