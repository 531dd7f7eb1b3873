"""Ownership as one process takes part in it."""

from dataclasses import replace
from typing import Final

import trio

from carobwalk.model import ProcessId
from carobwalk.ownership._candidate import Candidate
from carobwalk.ownership._codec import decode_push, encode_answer
from carobwalk.ownership._context import OwnershipContext, region_of
from carobwalk.ownership._entry_pushes import MAP_TOPIC
from carobwalk.ownership._gate_channel import GateChannel
from carobwalk.ownership._gates import GATE_TOPIC, Gates
from carobwalk.ownership._heard import HEARD_TOPIC, HeardQuestions
from carobwalk.ownership._host_view import HostView
from carobwalk.ownership._leases import Leases
from carobwalk.ownership._map_leases import MapLeases
from carobwalk.ownership._map_placements import MapPlacements
from carobwalk.ownership._placements import Placements
from carobwalk.ownership._shard_maps import ShardMaps
from carobwalk.ownership._snapshot import GroupSnapshot, OwnershipSnapshot

LEAVE_LIMIT_SECONDS: Final = 5.0


class OwnershipRole:
    """Entry, candidate, and at times coordinator and dispatcher.

    Args:
        context: Surroundings of the process.
    """

    hosts: HostView
    placements: Placements
    leases: Leases

    def __init__(self, context: OwnershipContext) -> None:
        self._context = context
        self.hosts = HostView(context)
        self._maps = ShardMaps(context)
        self._heard = HeardQuestions(context, self._maps)
        self._candidates: dict[str, Candidate] = {}
        self._gates = Gates(context, self._maps)
        channel = GateChannel(context, self._maps)
        self._coordinating_context = replace(context, channel=channel)
        placements = MapPlacements(context, self._maps)
        self.placements = placements
        self.leases = MapLeases(context, self._maps, placements, self._gates)
        context.topics.register(MAP_TOPIC, self._receive)
        context.topics.register(HEARD_TOPIC, self._heard.answer)
        context.topics.register(GATE_TOPIC, self._gates.receive)

    async def run(self) -> None:
        """Take part until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.hosts.run)
            while True:
                groups = self._groups() - self._candidates.keys()
                for group in sorted(groups):
                    nursery.start_soon(self._candidate(group).run)
                await trio.sleep(self._context.times.heartbeat)

    async def leave(self) -> None:
        """Hand over all roles; returns when that is done or takes too long."""
        self._maps.leaving = True
        with trio.move_on_after(LEAVE_LIMIT_SECONDS):
            while self._is_holding():
                self._resign()
                await trio.sleep(self._context.times.heartbeat)

    def snapshot(self) -> OwnershipSnapshot:
        """Return what this process knows now."""
        now = self._context.clock.now()
        groups = {
            group: GroupSnapshot(
                group=group,
                epoch=view.epoch,
                revision=view.revision,
                coordinator=view.coordinator,
                age=now - view.heard_at,
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
        """Return the groups of this region that the process knows of."""
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
            self._heard,
            group,
        )
        self._candidates[group] = candidate
        return candidate

    async def _receive(self, sender: ProcessId, payload: bytes) -> bytes:
        return encode_answer(self._maps.receive(decode_push(payload)))
