"""Log events of backend servers that are much slower than the others."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import ClassVar, Final

from carobwalk.directory import ServerIncarnation
from carobwalk.events import Event, EventLog
from carobwalk.keyspace._service_seconds import ServiceSeconds
from carobwalk.model import ServiceName

# Servers of one service differ by a factor of up to three, the slowest from the
# median by less than two.
_SLOW_RATIO: Final = 2.5
_RECOVERED_RATIO: Final = 1.8


@dataclass(frozen=True, slots=True)
class ServerSlowed(Event):
    """A server takes much longer for a request than others of its service.

    Args:
        server: Id of the server.
        service: Service that the server runs.
        seconds: Estimated time of a request without queueing.
        median: Median of that time over all servers of the service.
    """

    level: ClassVar[str] = 'warning'

    server: str
    service: str
    seconds: float
    median: float


@dataclass(frozen=True, slots=True)
class ServerRecovered(Event):
    """A server that had slowed down is about as fast as the others again.

    Args:
        server: Id of the server.
        service: Service that the server runs.
        seconds: Estimated time of a request without queueing.
        median: Median of that time over all servers of the service.
    """

    server: str
    service: str
    seconds: float
    median: float


class SlowServers:
    """Logs when servers slow down and recover.

    Args:
        events: Event log.
    """

    def __init__(self, events: EventLog) -> None:
        self._events = events
        self._slow: dict[ServiceName, set[ServerIncarnation]] = {}

    def clear(self) -> None:
        """Forget the servers that are slow."""
        self._slow.clear()

    def update(
        self,
        service: ServiceName,
        known: ServiceSeconds,
        servers: Iterable[ServerIncarnation],
    ) -> None:
        """Log the servers of a service that have become slow or recovered."""
        former = self._slow.get(service, set())
        slow = set()
        median = known.median_seconds
        for incarnation in servers:
            seconds = known.seconds(incarnation)
            was_slow = incarnation in former
            ratio = _RECOVERED_RATIO if was_slow else _SLOW_RATIO
            is_slow = seconds > median * ratio
            if is_slow:
                slow.add(incarnation)
            if is_slow != was_slow:
                event = ServerSlowed if is_slow else ServerRecovered
                self._events.emit(
                    event(
                        incarnation.server,
                        service,
                        round(seconds, 4),
                        round(median, 4),
                    )
                )
        self._slow[service] = slow
