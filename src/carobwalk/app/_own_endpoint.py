"""Endpoint of the local process."""

from carobwalk.model import Address, Endpoint
from carobwalk.settings import Process


def own_endpoint(process: Process, peers: Address) -> Endpoint:
    """Return the endpoint at which other processes reach this one.

    Args:
        process: Identity, region and data centre of this process.
        peers: Address of the peer listener.
    """
    return Endpoint(process.id, peers, process.region, process.data_centre)
