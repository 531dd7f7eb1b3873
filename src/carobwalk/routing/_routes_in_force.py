"""The configuration that a process follows."""

from dataclasses import dataclass
from typing import ClassVar

from carobwalk.events import Event, EventLog
from carobwalk.routing._configuration import RoutingConfiguration
from carobwalk.routing._route_table import RouteTable
from carobwalk.routing._split_choice import SplitChoice


@dataclass(frozen=True, slots=True)
class RoutesReplaced(Event):
    """A newer configuration is in force.

    Args:
        version: Its version.
        replaced: Version that it replaced, 0 for none.
        revision: Revision of its record.
        routes: Number of routes.
    """

    version: int
    replaced: int
    revision: int
    routes: int


@dataclass(frozen=True, slots=True)
class RoutesRejected(Event):
    """A configuration can't be used; the one before stays in force.

    Args:
        revision: Revision of its record.
        detail: What is wrong with it.
    """

    level: ClassVar[str] = 'error'

    revision: int
    detail: str


class RoutesInForce:
    """The configuration that a process follows; its version never falls.

    Args:
        events: Log of events.
    """

    def __init__(self, events: EventLog) -> None:
        self._events = events
        self.split = SplitChoice()
        self.table: RouteTable | None = None

    @property
    def version(self) -> int:
        """Version in force, 0 for none."""
        return self.table.configuration.version if self.table else 0

    def offer(self, configuration: RoutingConfiguration, revision: int) -> None:
        """Put a configuration in force if it is newer.

        Args:
            configuration: The configuration.
            revision: Revision of its record.
        """
        replaced = self.version
        if configuration.version <= replaced:
            return
        self.table = RouteTable(configuration)
        self.split = SplitChoice()
        self._events.emit(
            RoutesReplaced(
                configuration.version,
                replaced,
                revision,
                len(configuration.routes),
            ),
        )

    def reject(self, revision: int, detail: str) -> None:
        """Take in that a configuration can't be read."""
        self._events.emit(RoutesRejected(revision, detail))
