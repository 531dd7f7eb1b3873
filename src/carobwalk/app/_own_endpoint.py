"""Endpoint of the process itself."""

from carobwalk.model import Address, Endpoint
from carobwalk.settings import Process


def own_endpoint(place: Process, peers: Address) -> Endpoint:
    """Return the endpoint at which other processes reach this one.

    Args:
        place: Identity and place of the process.
        peers: Address of its peer listener.
    """
    return Endpoint(place.id, peers, place.region, place.data_centre)
