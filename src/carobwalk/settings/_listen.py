"""Settings of the addresses that the process listens on."""

from dataclasses import dataclass

from carobwalk.model import Address


@dataclass(frozen=True, slots=True, kw_only=True)
class Listen:
    """Addresses that the process listens on.

    Args:
        callers: Takes the callers' requests.
        peers: Takes connections of other processes, which are told it.
        administration: Takes operators' commands and metric scrapes.
    """

    callers: Address
    peers: Address
    administration: Address
