"""Shares of the ranks in a load."""

from dataclasses import dataclass

from carobwalk.model import Rank, ServiceName


@dataclass(frozen=True, slots=True)
class RankMix:
    """Work of one rank.

    Args:
        rank: The rank.
        service: Service that the work goes to.
        weight: Share of the requests, relative to the other ranks.
    """

    rank: Rank
    service: ServiceName
    weight: float
