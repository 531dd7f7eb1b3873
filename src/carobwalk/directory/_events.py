"""Events of the directory of backend servers."""

from dataclasses import dataclass
from typing import ClassVar

from carobwalk.events import Event


@dataclass(frozen=True, slots=True)
class ServerChanged(Event):
    """A backend server was registered or changed its entry.

    Args:
        server: Its id.
        service: Its service.
        born: Start of its life, in milliseconds since 1970.
        revision: Revision of the entry.
        is_leaving: Whether it wants no new work.
    """

    server: str
    service: str
    born: int
    revision: int
    is_leaving: bool


@dataclass(frozen=True, slots=True)
class ServerForgotten(Event):
    """A backend server's entry is gone.

    Args:
        server: Its id.
        cause: Why it counts as gone.
    """

    server: str
    cause: str


@dataclass(frozen=True, slots=True)
class ServerEntryDropped(Event):
    """An entry could not be read; it names no backend server.

    Args:
        name: Name of the record.
        detail: What is wrong with it.
    """

    level: ClassVar[str] = 'warning'

    name: str
    detail: str
