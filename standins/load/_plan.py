"""Parameters of a load."""

from dataclasses import dataclass

from carobwalk.model import Address
from standins.load._rank_mix import RankMix


@dataclass(frozen=True, slots=True, kw_only=True)
class LoadPlan:
    """A load on some entries.

    Args:
        entries: Addresses for requests of callers.
        mix: Share and service of each rank.
        seconds: Time during which requests are sent.
        callers: Callers of a closed loop; each waits for its response.
        rate: Requests per second of an open loop; 0 for a closed loop.
        keys: Number of keys of each service.
        skew: Exponent of the Zipf distribution of keys.
        repeat_share: Share of money-bearing requests that retry an earlier
            action.
        bulk_bytes: Length of the body of a bulk upload, in bytes.
        work_ms: Service time of a request on its backend server, in
            milliseconds.
        timeout: Timeout of a request, in seconds.
        seed: Seed of all random choices.
    """

    entries: tuple[Address, ...]
    mix: tuple[RankMix, ...]
    seconds: float = 5
    callers: int = 16
    rate: float = 0
    keys: int = 200
    skew: float = 1.1
    repeat_share: float = 0.1
    bulk_bytes: int = 100_000
    work_ms: int = 5
    timeout: float = 15
    seed: int = 1
