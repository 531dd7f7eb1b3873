"""Shard maps and dispatch leases of an entry."""

from collections.abc import Mapping
from dataclasses import dataclass

from carobwalk.model import ProcessId, ServerId
from carobwalk.ownership._context import OwnershipContext
from carobwalk.ownership._division import Division
from carobwalk.ownership._group_view import GroupView
from carobwalk.ownership._map_events import MapApplied
from carobwalk.ownership._map_push import MapAnswer, MapPush
from carobwalk.ownership._shard_row import ServerRow


@dataclass(frozen=True, slots=True)
class DispatchLease:
    """Exclusive right to dispatch to a server.

    Args:
        epoch: Epoch of the coordinator that granted it.
        until: Expiry time on this process's clock, in seconds.
        since: Time since which it was held without interruption.
    """

    epoch: int
    until: float
    since: float


class ShardMaps:
    """Holds the shard maps and leases that coordinators push.

    Args:
        context: Dependencies and settings of this process.
    """

    def __init__(self, context: OwnershipContext) -> None:
        self.by_group: dict[str, GroupView] = {}
        self.divisions: dict[str, Division] = {}
        self.leaving = False
        self._context = context
        self._leases_by_group: dict[str, dict[ServerId, DispatchLease]] = {}

    def receive(self, push: MapPush) -> MapAnswer:
        """Apply a push and return the answer."""
        now = self._context.clock.now()
        view = self.by_group.setdefault(push.group, GroupView())
        earlier = (view.epoch, view.revision)
        if view.accept(push, now):
            self._lease(push, now)
            self.divisions |= {
                division.service: division for division in push.divisions
            }
        if (view.epoch, view.revision) != earlier:
            self._context.events.emit(
                MapApplied(
                    group=push.group,
                    epoch=view.epoch,
                    revision=view.revision,
                ),
            )
        return MapAnswer(
            process=ProcessId(self._context.own.name),
            epoch=view.epoch,
            revision=view.revision,
            clock=now,
            leases=tuple(self.live_leases(push.group)),
            leaving=self.leaving,
        )

    def read_clock(self) -> float:
        """Return the time on this process's clock, in seconds."""
        return self._context.clock.now()

    def live_leases(self, group: str) -> Mapping[ServerId, DispatchLease]:
        """Return the unexpired leases of a group."""
        now = self._context.clock.now()
        leases = self._leases_by_group.get(group, {})
        return {
            server: lease
            for server, lease in leases.items()
            if lease.until > now
        }

    def lease_of(self, server: ServerId) -> DispatchLease | None:
        """Return the live lease on a server, ``None`` without one."""
        now = self._context.clock.now()
        for leases in self._leases_by_group.values():
            lease = leases.get(server)
            if lease is not None and lease.until > now:
                return lease
        return None

    def row_of(self, server: ServerId) -> ServerRow | None:
        """Return the row of a server in any group, ``None`` without one."""
        for view in self.by_group.values():
            row = view.servers.get(server)
            if row is not None:
                return row
        return None

    def _lease(self, push: MapPush, now: float) -> None:
        """Replace the leases of a group.

        Leases of an earlier epoch are kept until they expire, so that the
        answer reports them to the new coordinator.
        """
        until = push.echo + push.ttl
        live = self.live_leases(push.group)
        kept = {
            server: lease
            for server, lease in live.items()
            if lease.epoch < push.epoch
        }
        if until > now:
            for server in push.leases:
                held = live.get(server)
                since = now if held is None else held.since
                kept[server] = DispatchLease(push.epoch, until, since)
        self._leases_by_group[push.group] = kept
