"""Demand for the keys of cold servers."""

import math
from collections import defaultdict
from collections.abc import Collection, Iterable
from dataclasses import dataclass
from typing import Final

from carobwalk.directory import ServerIncarnation
from carobwalk.keyspace._key_load import KeyLoad
from carobwalk.keyspace._key_map import KeyMap
from carobwalk.keyspace._key_range import KeyRange
from carobwalk.keyspace._overloads import DEMAND_WINDOW_SECONDS

# How long the demand for keys counts after the last planning round.
_VALID_SECONDS: Final = 0.5


@dataclass(frozen=True, slots=True)
class ColdKeys:
    """Keys of a cold server and their part of the service's demand.

    Args:
        part: Part of the requests with a key, over some seconds.
        recent_rate: Requests per second over the last second, as far as
            chance doesn't explain them.
        recorded_at: Time of the planning round.
    """

    part: float
    recent_rate: float
    recorded_at: float

    def is_current(self, now: float) -> bool:
        """Return whether the demand may still be used."""
        return now - self.recorded_at <= _VALID_SECONDS

    def demand(self, service_rate: float) -> float:
        """Return the requests per second for the keys.

        Args:
            service_rate: Requests per second with a key of the service.
        """
        return max(self.part * service_rate, self.recent_rate)


def cold_keys(
    owners: Collection[ServerIncarnation],
    key_map: KeyMap,
    loads: tuple[KeyLoad, KeyLoad],
    now: float,
) -> dict[ServerIncarnation, ColdKeys]:
    """Return the demand for the keys of some servers.

    Args:
        owners: The servers.
        key_map: Owners of all keys.
        loads: Request rates of keys over some seconds and over one.
        now: Current time in seconds.
    """
    ranges = [key_range for key_range in key_map if key_range.owner in owners]
    long, short = (_rates(ranges, load) for load in loads)
    total = loads[0].total
    return {
        owner: ColdKeys(long[owner] / total, _certain_rate(short[owner]), now)
        for owner in owners
    }


def _rates(
    ranges: Iterable[KeyRange], load: KeyLoad
) -> defaultdict[ServerIncarnation, float]:
    rates: defaultdict[ServerIncarnation, float] = defaultdict(float)
    for key_range in ranges:
        rates[key_range.owner] += load.rate(
            key_range.first, key_range.last, even_share=0
        )
    return rates


def _certain_rate(rate: float) -> float:
    deviation = math.sqrt(rate / (2 * DEMAND_WINDOW_SECONDS))
    return max(rate - deviation, 0)
