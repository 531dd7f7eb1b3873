"""Explanation of the placement of a key."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import TypeAlias

from result import Err

from carobwalk.model import Key, ServiceName
from carobwalk.ownership import Placements


@dataclass(frozen=True, slots=True)
class OwnershipExplanation:
    """Ownership's part of an explanation.

    Args:
        shard: Shard of the key; ``None`` if it is not known.
        owner: Backend server that owns the key.
        dispatcher: Entry process that sends to it.
        token: Fencing token of the grant.
        why: Reasons, one a line.
    """

    shard: int | None = None
    owner: str | None = None
    dispatcher: str | None = None
    token: str | None = None
    why: tuple[str, ...] = ()


ExplainOwnership: TypeAlias = Callable[[ServiceName, Key], OwnershipExplanation]


@dataclass(frozen=True, slots=True)
class PlacementExplainer:
    """Explains ownership by the shard map of this entry.

    Args:
        placements: Shard map of this process.
    """

    placements: Placements

    def __call__(self, service: ServiceName, key: Key) -> OwnershipExplanation:
        """Return the owner of a key, or the reason why it has none."""
        located = self.placements.locate(service, key)
        if isinstance(located, Err):
            return OwnershipExplanation(why=(located.err_value.detail,))
        placement = located.ok_value
        return OwnershipExplanation(
            shard=placement.shard,
            owner=placement.server.name,
            dispatcher=placement.dispatcher.name,
            token=str(placement.token) if placement.token else None,
            why=('the shard map names this owner and this dispatcher',),
        )
