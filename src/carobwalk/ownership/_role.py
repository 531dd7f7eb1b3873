"""Participation of one process in ownership."""

from dataclasses import replace
from typing import Final

import trio

from carobwalk.model import ProcessId
from carobwalk.ownership._candidate import Candidate
from carobwalk.ownership._codec import decode_push, encode_answer
from carobwalk.ownership._context import OwnershipContext, region_of
from carobwalk.ownership._delegated_grants import (
    DELEGATED_GRANTS_TOPIC,
    DelegatedGrants,
)
from carobwalk.ownership._delegating_grant_channel import DelegatingGrantChannel
from carobwalk.ownership._entry_pushes import MAP_TOPIC
from carobwalk.ownership._host_view import HostView
from carobwalk.ownership._leases import Leases
from carobwalk.ownership._liveness_queries import (
    LIVENESS_TOPIC,
    LivenessQueries,
)
from carobwalk.ownership._map_leases import MapLeases
from carobwalk.ownership._map_placements import MapPlacements
from carobwalk.ownership._placements import Placements
from carobwalk.ownership._shard_maps import ShardMaps
from carobwalk.ownership._snapshot import GroupSnapshot, OwnershipSnapshot

LEAVE_TIMEOUT_SECONDS: Final = 5.0


class OwnershipRole:
    """Runs all ownership tasks of a process.

    The process follows the shard maps as an entry and is a candidate in the
    groups of its region; it may be coordinator of groups and dispatcher of
    servers.

    Args:
        context: Dependencies and settings of this process.
    """

    hosts: HostView
    placements: Placements
    leases: Leases

    def __init__(self, context: OwnershipContext) -> None:
        self._context = context
        self.hosts = HostView(context)
        self._maps = ShardMaps(context)
        self._liveness_queries = LivenessQueries(context, self._maps)
        self._candidates: dict[str, Candidate] = {}
        self._delegated_grants = DelegatedGrants(context, self._maps)
        channel = DelegatingGrantChannel(context, self._maps)
        self._coordinating_context = replace(context, channel=channel)
        placements = MapPlacements(context, self._maps)
        self.placements = placements
        self.leases = MapLeases(
            context, self._maps, placements, self._delegated_grants
        )
        context.topics.register(MAP_TOPIC, self._receive)
        context.topics.register(LIVENESS_TOPIC, self._liveness_queries.answer)
        context.topics.register(
            DELEGATED_GRANTS_TOPIC, self._delegated_grants.receive
        )

    async def run(self) -> None:
        """Read the host list and run a candidate per group until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.hosts.run)
            while True:
                groups = self._groups() - self._candidates.keys()
                for group in sorted(groups):
                    nursery.start_soon(self._candidate(group).run)
                await trio.sleep(self._context.times.heartbeat)

    async def leave(self) -> None:
        """Hand over coordination and dispatch leases, up to a time limit."""
        self._maps.leaving = True
        with trio.move_on_after(LEAVE_TIMEOUT_SECONDS):
            while self._is_holding():
                self._resign()
                await trio.sleep(self._context.times.heartbeat)

    def snapshot(self) -> OwnershipSnapshot:
        """Return the current shard maps and roles of this process."""
        now = self._context.clock.now()
        groups = {
            group: GroupSnapshot(
                group=group,
                epoch=view.epoch,
                revision=view.revision,
                coordinator=view.coordinator,
                age=now - view.last_push_at,
                shards=dict(view.shards),
                servers=dict(view.servers),
            )
            for group, view in self._maps.by_group.items()
        }
        return OwnershipSnapshot(
            groups=groups,
            coordinating=self._coordinating(),
            dispatching=tuple(
                server
                for group in groups
                for server in self._maps.live_leases(group)
            ),
        )

    def _resign(self) -> None:
        for candidate in self._candidates.values():
            if candidate.coordinator is not None:
                candidate.coordinator.resign()

    def _coordinating(self) -> tuple[str, ...]:
        return tuple(
            group
            for group, candidate in self._candidates.items()
            if candidate.coordinator is not None
        )

    def _is_holding(self) -> bool:
        leases = any(
            self._maps.live_leases(group) for group in self._maps.by_group
        )
        return leases or bool(self._coordinating())

    def _groups(self) -> set[str]:
        """Return the known groups of this process's region."""
        region = self._context.own.region
        divided = {
            group
            for division in self._maps.divisions.values()
            for group in division.groups
            if region_of(group) == region
        }
        return divided | set(self.hosts.groups_in(region))

    def _candidate(self, group: str) -> Candidate:
        candidate = Candidate(
            self._coordinating_context,
            self.hosts,
            self._maps,
            self._liveness_queries,
            group,
        )
        self._candidates[group] = candidate
        return candidate

    async def _receive(self, sender: ProcessId, payload: bytes) -> bytes:
        return encode_answer(self._maps.receive(decode_push(payload)))
