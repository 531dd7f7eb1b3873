"""Settings of the addresses that the process listens on."""

from dataclasses import dataclass

from carobwalk.model import Address


@dataclass(frozen=True, slots=True, kw_only=True)
class Listen:
    """Addresses that the process listens on.

    Args:
        callers: Accepts requests of callers.
        peers: Accepts connections of other router processes; this address is
            announced to them.
        administration: Serves the administration API and metric scrapes.
    """

    callers: Address
    peers: Address
    administration: Address
