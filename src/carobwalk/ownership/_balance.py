"""Planned moves that even out the shards among servers."""

from collections import Counter

import trio

from carobwalk.model import ServiceName
from carobwalk.ownership._context import group_of
from carobwalk.ownership._group_state import GroupState
from carobwalk.ownership._server_link import ServerLink
from carobwalk.ownership._shard_state import ShardState


class Balance:
    """Moves one shard at a time from the fullest to the emptiest server.

    Args:
        state: State of the group.
    """

    def __init__(self, state: GroupState) -> None:
        self._state = state

    async def run(self) -> None:
        """Plan a move for each service at each interval."""
        while True:
            await trio.sleep(self._state.context.times.balance_interval)
            for service in tuple(self._state.divisions):
                self._plan(ServiceName(service))

    def _plan(self, service: ServiceName) -> None:
        shards = [
            shard
            for shard in self._state.shards.values()
            if shard.shard_id[0] == service
        ]
        if not all(self._is_settled(shard) for shard in shards):
            return
        links = self._links(service)
        counts = Counter(
            shard.owner.server for shard in shards if shard.owner is not None
        )
        if not links:
            return
        emptiest = min(links, key=lambda link: counts[link.server])
        fullest = max(counts, key=lambda server: counts[server])
        away = self._away(shards, {link.server for link in links})
        # A gap of one cannot be narrowed by a move.
        if away is not None:
            away.target = emptiest.holder
        elif counts[fullest] - counts[emptiest.server] > 1:
            self._move_from(shards, fullest, emptiest)

    def _links(self, service: ServiceName) -> list[ServerLink]:
        return [
            link
            for link in self._state.links.values()
            if link.service == service
            and group_of(link.endpoint) == self._state.group
            and not link.leaving
            and self._state.is_fresh(link)
        ]

    def _is_settled(self, shard: ShardState) -> bool:
        moving = shard.release is not None or shard.target is not None
        return shard.owner is not None and not moving and not shard.unsettled

    def _away(
        self,
        shards: list[ShardState],
        home: set[str],
    ) -> ShardState | None:
        for shard in shards:
            if shard.owner is not None and shard.owner.server not in home:
                return shard
        return None

    def _move_from(
        self,
        shards: list[ShardState],
        server: str,
        link: ServerLink,
    ) -> None:
        for shard in shards:
            if shard.owner is not None and shard.owner.server == server:
                shard.target = link.holder
                return
