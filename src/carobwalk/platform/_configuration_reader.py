"""Reading of the operator's configuration."""

from result import Err

from carobwalk.platform._configuration import (
    CONFIGURATION_NAME,
    decode_configuration,
)
from carobwalk.routing import ActiveRoutes
from carobwalk.store import Listing, Removed, Versioned


class ConfigurationReader:
    """Puts the operator's configuration in force; a ``RecordReader``.

    Args:
        routes: Takes the configuration.
    """

    def __init__(self, routes: ActiveRoutes) -> None:
        self._routes = routes

    def load(self, listing: Listing, *, after_outage: bool) -> None:
        """Take the configuration if it is listed."""
        for row in listing.records:
            self._take(row)

    def apply(self, change: Versioned | Removed) -> None:
        """Take one change."""
        if isinstance(change, Versioned):
            self._take(change)

    def _take(self, row: Versioned) -> None:
        if row.name != CONFIGURATION_NAME:
            return
        decoded = decode_configuration(row.content)
        if isinstance(decoded, Err):
            self._routes.reject(row.revision, decoded.err_value.detail)
        else:
            self._routes.offer(decoded.ok_value, row.revision)
