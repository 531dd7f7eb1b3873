"""Routing configuration in force."""

from dataclasses import dataclass
from typing import ClassVar

from carobwalk.events import Event, EventLog
from carobwalk.model import ServiceName
from carobwalk.routing._configuration import RoutingConfiguration
from carobwalk.routing._route_table import RouteTable
from carobwalk.routing._traffic_split import TrafficSplit


@dataclass(frozen=True, slots=True)
class RoutesReplaced(Event):
    """A newer routing configuration came into force.

    Args:
        version: Version of the new configuration.
        replaced: Version that it replaced, 0 for none.
        revision: Store revision of the configuration's record.
        routes: Number of routes.
    """

    version: int
    replaced: int
    revision: int
    routes: int


@dataclass(frozen=True, slots=True)
class RoutesRejected(Event):
    """A routing configuration was invalid; the previous one stays in force.

    Args:
        revision: Store revision of the configuration's record.
        detail: What is wrong with the configuration.
    """

    level: ClassVar[str] = 'error'

    revision: int
    detail: str


class ActiveRoutes:
    """Routing configuration in force, whose version never decreases.

    Args:
        events: Event log.
    """

    def __init__(self, events: EventLog) -> None:
        self._events = events
        self.split = TrafficSplit()
        self.table: RouteTable | None = None

    @property
    def version(self) -> int:
        """Version of the configuration in force, 0 for none."""
        return self.table.configuration.version if self.table else 0

    def warmup_rate(self, service: ServiceName) -> float | None:
        """Return the requests per second that a cold server can take.

        Args:
            service: Service of the server.

        Returns:
            The rate over all processes, ``None`` if the configuration in force
            limits none.
        """
        if self.table is None:
            return None
        routed = self.table.configuration.services_by_name.get(service)
        return routed.warmup_rate if routed else None

    def offer(self, configuration: RoutingConfiguration, revision: int) -> None:
        """Put a configuration into force if its version is higher.

        Args:
            configuration: Configuration that was read.
            revision: Store revision of its record, for the log.
        """
        replaced = self.version
        if configuration.version <= replaced:
            return
        self.table = RouteTable(configuration)
        self.split.retain(configuration.routes)
        self._events.emit(
            RoutesReplaced(
                configuration.version,
                replaced,
                revision,
                len(configuration.routes),
            ),
        )

    def reject(self, revision: int, detail: str) -> None:
        """Log that a configuration is invalid; nothing else changes.

        Args:
            revision: Store revision of its record.
            detail: What is wrong with the configuration.
        """
        self._events.emit(RoutesRejected(revision, detail))
