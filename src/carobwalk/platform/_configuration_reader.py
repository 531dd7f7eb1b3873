"""Application of the operator's configuration to the routing table."""

from result import Err

from carobwalk.platform._configuration import (
    CONFIGURATION_NAME,
    decode_configuration,
)
from carobwalk.routing import RoutesInForce
from carobwalk.store import Listing, Removed, Versioned


class ConfigurationReader:
    """Decodes the configuration record and puts it in force.

    It implements ``RecordReader``.

    Args:
        routes: Holder of the configuration in force.
    """

    def __init__(self, routes: RoutesInForce) -> None:
        self._routes = routes

    def load(self, listing: Listing, *, after_outage: bool) -> None:
        """Apply the configuration if it is listed; otherwise keep the last."""
        for row in listing.records:
            self._offer(row)

    def apply(self, change: Versioned | Removed) -> None:
        """Apply a change; a removal leaves the last configuration in force."""
        if isinstance(change, Versioned):
            self._offer(change)

    def _offer(self, row: Versioned) -> None:
        if row.name != CONFIGURATION_NAME:
            return
        decoded = decode_configuration(row.content)
        if isinstance(decoded, Err):
            self._routes.reject(row.revision, decoded.err_value.detail)
        else:
            self._routes.offer(decoded.ok_value, row.revision)
