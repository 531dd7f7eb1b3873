"""Rebalancing of shards among the servers of a service."""

from collections import Counter

import trio

from carobwalk.model import ServiceName
from carobwalk.ownership._context import group_of
from carobwalk.ownership._group_state import GroupState
from carobwalk.ownership._server_link import ServerLink
from carobwalk.ownership._shard_state import ShardState


class Rebalancer:
    """Moves one shard at a time from the most to the least loaded server.

    A shard whose owner is no live, staying server of the group's data centre
    is moved first.

    Args:
        state: Coordinator's state of the group.
    """

    def __init__(self, state: GroupState) -> None:
        self._state = state

    async def run(self) -> None:
        """Plan at most one move for each service at each interval."""
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
        if not all(self._is_stable(shard) for shard in shards):
            return
        links = self._eligible_links(service)
        counts = Counter(
            shard.owner.server for shard in shards if shard.owner is not None
        )
        if not links:
            return
        least_loaded = min(links, key=lambda link: counts[link.server])
        most_loaded = max(counts, key=lambda server: counts[server])
        misplaced = self._misplaced_shard(
            shards, {link.server for link in links}
        )
        # Moving a shard cannot reduce a difference of one.
        if misplaced is not None:
            misplaced.target = least_loaded.holder
        elif counts[most_loaded] - counts[least_loaded.server] > 1:
            self._plan_move(shards, most_loaded, least_loaded)

    def _eligible_links(self, service: ServiceName) -> list[ServerLink]:
        return [
            link
            for link in self._state.links.values()
            if link.service == service
            and group_of(link.endpoint) == self._state.group
            and not link.leaving
            and self._state.is_alive(link)
        ]

    def _is_stable(self, shard: ShardState) -> bool:
        moving = shard.release is not None or shard.target is not None
        return shard.owner is not None and not moving and not shard.unsettled

    def _misplaced_shard(
        self,
        shards: list[ShardState],
        home_servers: set[str],
    ) -> ShardState | None:
        for shard in shards:
            if (
                shard.owner is not None
                and shard.owner.server not in home_servers
            ):
                return shard
        return None

    def _plan_move(
        self,
        shards: list[ShardState],
        server: str,
        destination: ServerLink,
    ) -> None:
        for shard in shards:
            if shard.owner is not None and shard.owner.server == server:
                shard.target = destination.holder
                return
