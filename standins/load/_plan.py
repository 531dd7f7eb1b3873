"""What a load consists of."""

from dataclasses import dataclass

from carobwalk.model import Address
from standins.load._rank_mix import RankMix


@dataclass(frozen=True, slots=True, kw_only=True)
class LoadPlan:
    """A load on some entries.

    Args:
        entries: Where callers' requests are taken.
        mix: Work by rank.
        seconds: Time in which requests are made.
        callers: Callers of a closed loop; each waits for its answer.
        rate: Requests per second of an open loop; 0 for a closed loop.
        keys: Number of keys of each service.
        skew: Exponent of the Zipf distribution of keys.
        repeat_share: Share of money-bearing actions that are sent again.
        bulk_bytes: Length of the body of a bulk upload.
        work_ms: Service time of each request on its backend server.
        timeout: Longest wait for an answer, in seconds.
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
