"""Share of a rank in a load."""

from dataclasses import dataclass

from carobwalk.model import Rank, ServiceName


@dataclass(frozen=True, slots=True)
class RankMix:
    """Requests of one rank.

    Args:
        rank: The rank.
        service: Service that the requests call.
        weight: Weight relative to the other ranks.
    """

    rank: Rank
    service: ServiceName
    weight: float
