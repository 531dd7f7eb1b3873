"""Keys that are still in evacuated data centres."""

import math
from collections import Counter
from dataclasses import dataclass
from typing import ClassVar, Final

from carobwalk.directory import Evacuations
from carobwalk.events import Event, EventLog
from carobwalk.keyspace._key_locations import count_evacuated_keys
from carobwalk.keyspace._key_map import KeyMap
from carobwalk.keyspace._server_incarnations import ServerIncarnations
from carobwalk.model import Clock, DataCentreName, ServiceName

_LOG_INTERVAL_SECONDS: Final = 1.0


@dataclass(frozen=True, slots=True)
class KeysInEvacuation(Event):
    """The number of keys that servers of an evacuated data centre may hold.

    Args:
        service: Name of the service.
        data_centre: Evacuated data centre.
        keys: Number of keys whose owner is there, or whose former owner there
            has not yet released them; 0 when the last one has moved.
    """

    level: ClassVar[str] = 'warning'

    service: str
    data_centre: str
    keys: int


class EvacuatedKeysLog:
    """Logs changes of the number of a service's keys in evacuated data centres.

    Args:
        service: Name of the service.
        evacuations: Evacuated data centres.
        incarnations: Looks up the data centres of servers.
        clock: Clock that bounds how often the number is logged.
        events: Event log.
    """

    def __init__(
        self,
        service: ServiceName,
        evacuations: Evacuations,
        incarnations: ServerIncarnations,
        clock: Clock,
        events: EventLog,
    ) -> None:
        self._service = service
        self._evacuations = evacuations
        self._incarnations = incarnations
        self._clock = clock
        self._events = events
        self._logged: Counter[DataCentreName] = Counter()
        self._next_at = -math.inf

    def record(self, key_map: KeyMap) -> None:
        """Log the numbers that have changed, at once if no key is left.

        Args:
            key_map: Owners of all keys.
        """
        evacuated = self._evacuations.data_centres
        counts = count_evacuated_keys(
            key_map, evacuated, self._incarnations.data_centre
        )
        now = self._clock.now()
        is_due = now >= self._next_at
        for data_centre in sorted(self._logged.keys() | counts.keys()):
            count = counts[data_centre]
            if data_centre not in evacuated:
                # The end of an evacuation leaves nothing to move.
                self._logged.pop(data_centre)
            elif count != self._logged[data_centre] and (is_due or not count):
                self._logged[data_centre] = count
                self._next_at = now + _LOG_INTERVAL_SECONDS
                self._events.emit(
                    KeysInEvacuation(self._service, data_centre, count)
                )
