"""Data centres whose backend servers get no more requests."""

import math
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

import trio

from carobwalk.directory._events import EvacuationBegun, EvacuationEnded
from carobwalk.events import EventLog
from carobwalk.model import Clock, DataCentreName

DEFAULT_EVACUATION_SECONDS: Final = 5.0
# Part at the end of an evacuation in which no more requests are sent to the
# former owners of keys.
_LAST_PART_SECONDS: Final = 2.0
# Time for a request to arrive once it is sent. Together with the age of
# records, 1.6 s at most, it is within the last part.
_ARRIVAL_SECONDS: Final = 0.4
# How long a record may be missing after an outage or a restore of the store: it
# is written again within 2 s, and is known here up to 1.6 s later.
_REWRITE_GRACE_SECONDS: Final = 4.0


@dataclass(frozen=True, slots=True)
class _Evacuation:
    learned_at: float
    keyed_until: float


class Evacuations:
    """Evacuated data centres, and until when owners there are sent requests.

    Args:
        clock: Clock that keeps running while the host is suspended.
        events: Event log.
        limit: Seconds after the request for an evacuation from which no
            request arrives there.
    """

    def __init__(
        self,
        clock: Clock,
        events: EventLog,
        limit: float = DEFAULT_EVACUATION_SECONDS,
    ) -> None:
        self._clock = clock
        self._events = events
        self._limit = limit
        self._by_data_centre: dict[DataCentreName, _Evacuation] = {}
        self._missing_since: dict[DataCentreName, float] = {}
        self.changed = trio.Event()

    @property
    def data_centres(self) -> frozenset[DataCentreName]:
        """Names of the evacuated data centres."""
        return frozenset(self._by_data_centre)

    def is_evacuated(self, data_centre: DataCentreName) -> bool:
        """Return whether a data centre gets no more work."""
        return data_centre in self._by_data_centre

    def accepts_keyed_requests(self, data_centre: DataCentreName) -> bool:
        """Return whether owners of keys there may be sent requests for them.

        They may at the start of an evacuation, while the keys move.
        """
        evacuation = self._by_data_centre.get(data_centre)
        return evacuation is None or self._clock.now() < evacuation.keyed_until

    def begin(
        self, data_centre: DataCentreName, proved_at: float = -math.inf
    ) -> None:
        """Begin an evacuation; one that is known goes on unchanged.

        Args:
            data_centre: Name of the data centre.
            proved_at: Time before which it was certainly not asked for.
        """
        self._missing_since.pop(data_centre, None)
        if data_centre in self._by_data_centre:
            return
        now = self._clock.now()
        keyed_until = min(
            now + self._limit - _LAST_PART_SECONDS,
            proved_at + self._limit - _ARRIVAL_SECONDS,
        )
        self._by_data_centre[data_centre] = _Evacuation(now, keyed_until)
        keyed_seconds = round(max(keyed_until - now, 0), 3)
        self._events.emit(EvacuationBegun(data_centre, keyed_seconds))
        self._notify()

    def end(self, data_centre: DataCentreName) -> None:
        """End an evacuation; the servers there get work again."""
        self._missing_since.pop(data_centre, None)
        evacuation = self._by_data_centre.pop(data_centre, None)
        if evacuation is None:
            return
        seconds = self._clock.now() - evacuation.learned_at
        self._events.emit(EvacuationEnded(data_centre, round(seconds, 3)))
        self._notify()

    def replace(
        self,
        data_centres: Iterable[DataCentreName],
        proved_at: float = -math.inf,
        *,
        after_outage: bool = False,
    ) -> None:
        """Replace the evacuated data centres by those of a complete listing.

        Args:
            data_centres: Names of the listed data centres.
            proved_at: Time before which those that are new were certainly not
                asked for.
            after_outage: Whether the store was unavailable or restored before.
                If so, evacuations that are not listed go on until ``expire``
                finds that their records have not returned in time.
        """
        listed = frozenset(data_centres)
        for missing in sorted(self.data_centres - listed):
            if after_outage or missing in self._missing_since:
                self._missing_since.setdefault(missing, self._clock.now())
            else:
                self.end(missing)
        for data_centre in sorted(listed):
            self.begin(data_centre, proved_at)

    def expire(self) -> None:
        """End evacuations whose records have been missing for too long."""
        limit = self._clock.now() - _REWRITE_GRACE_SECONDS
        for data_centre, since in tuple(self._missing_since.items()):
            if since <= limit:
                self.end(data_centre)

    def _notify(self) -> None:
        self.changed.set()
        self.changed = trio.Event()
