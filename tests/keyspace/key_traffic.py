"""Load of keys that shifts, so that coordinators move keys."""

import random

import msgspec
import trio

from carobwalk.keyspace._load_report import (
    LoadReport,
    ServerAnswers,
    ServiceLoad,
)
from carobwalk.model import ProcessId
from tests.keyspace.simulated_fleet import SERVICE, SimulatedFleet

CHECKED_KEYS = tuple(range(0, 65_536, 2048))
_REPORT_SECONDS = 0.25
_SHIFT_SECONDS = (1.0, 6.0)
_REQUESTS = 40
_HOT_KEYS = 6


class KeyTraffic:
    """Reports the load of a moving group of busy keys to all processes.

    Args:
        fleet: Fleet under test.
        generator: Source of all random choices.
    """

    def __init__(self, fleet: SimulatedFleet, generator: random.Random) -> None:
        self._fleet = fleet
        self._generator = generator
        self._hot = CHECKED_KEYS[:_HOT_KEYS]

    async def run(self) -> None:
        """Report until cancelled."""
        shift_at = trio.current_time()
        while True:
            if trio.current_time() >= shift_at:
                start = self._generator.randrange(len(CHECKED_KEYS))
                self._hot = CHECKED_KEYS[start : start + _HOT_KEYS]
                shift_at += self._generator.uniform(*_SHIFT_SECONDS)
            for router in tuple(self._fleet.routers):
                if not router.gate.is_frozen:
                    await router.collector.answer(
                        ProcessId('entry'), self._report()
                    )
            await trio.sleep(_REPORT_SECONDS)

    def _report(self) -> bytes:
        counts = dict.fromkeys(CHECKED_KEYS, 1)
        for key in self._hot:
            counts[key] += _REQUESTS // _HOT_KEYS
        load = ServiceLoad(SERVICE, tuple(counts.items()), self._answers())
        return msgspec.msgpack.encode(LoadReport((load,)))

    def _answers(self) -> tuple[ServerAnswers, ...]:
        """Return the answers of the servers that hold keys."""
        now = trio.current_time()
        return tuple(
            ServerAnswers(server, holder.born, 8, 0, 0.4)
            for server, holder in self._fleet.book.holders_by_id.items()
            if not holder.is_unresponsive
            and any(holder.holds(key, now) for key in CHECKED_KEYS)
        )
