"""Names of the records in the store."""

from typing import Final

from carobwalk.model import ServiceName

DIVISIONS: Final = 'ownership/divisions/'


def group_record(group: str) -> str:
    """Return the name of a group's record."""
    return f'ownership/groups/{group}'


def coordinator_lease(group: str) -> str:
    """Return the name of the record under a coordinator's lease."""
    return f'ownership/coordinators/{group}'


def division_record(service: ServiceName) -> str:
    """Return the name of the record of a service's division."""
    return f'{DIVISIONS}{service}'
