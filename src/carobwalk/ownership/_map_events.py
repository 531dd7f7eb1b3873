"""Events of the shard map and of dispatchers."""

from dataclasses import dataclass

from carobwalk.events import Event
from carobwalk.model import ProcessId, ServerId


@dataclass(frozen=True, slots=True, kw_only=True)
class DispatcherAssigned(Event):
    """A process was assigned as the dispatcher of a server."""

    group: str
    epoch: int
    server: ServerId
    dispatcher: ProcessId


@dataclass(frozen=True, slots=True, kw_only=True)
class MapApplied(Event):
    """This process applied a newer shard map."""

    group: str
    epoch: int
    revision: int
