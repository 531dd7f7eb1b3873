"""Grants of a backend server, as the server itself enforces them."""

from collections import Counter
from dataclasses import replace

from carobwalk.model import FenceToken, ServiceName, ShardNumber
from carobwalk.ownership._group_grants import GroupGrants
from carobwalk.ownership._safety_rules import ALL_RULES, SafetyRules
from carobwalk.ownership._server_messages import (
    FenceOrder,
    GrantOrder,
    GrantReport,
    Refusal,
    ReleaseOrder,
    ServerOrder,
    ShardId,
)


class GrantTable:
    """Grants of one incarnation of a backend server.

    The caller passes the current time to each method, in seconds on the
    server's own clock, which must keep running while the host is suspended.

    Args:
        incarnation: Random name chosen when the server started.
        rules: Safety rules; all in force, except in tests that disable one.
    """

    def __init__(
        self,
        incarnation: str,
        rules: SafetyRules = ALL_RULES,
    ) -> None:
        self._rules = rules
        self.leaving = False
        self._incarnation = incarnation
        self._by_group: dict[str, GroupGrants] = {}
        self._in_flight: Counter[ShardId] = Counter()

    def handle(self, order: ServerOrder, now: float) -> GrantReport:
        """Apply an order unless a safety rule refuses it, and report.

        Args:
            order: Order of a coordinator.
            now: Time on the server's clock, in seconds.
        """
        group = self._by_group.setdefault(order.group, GroupGrants())
        refusal = self._refusal(order, group, now)
        if refusal is None:
            self._apply(order, group, now)
        group.drop_drained(self._in_flight)
        return GrantReport(
            incarnation=self._incarnation,
            epoch=group.epoch,
            sequence=group.sequence,
            clock=now,
            held=group.held(now),
            leaving=self.leaving,
            autonomous=group.autonomous,
            refusal=refusal,
        )

    def admits(
        self,
        service: ServiceName,
        shard: ShardNumber,
        token: FenceToken,
        now: float,
    ) -> bool:
        """Return whether a request may start.

        Args:
            service: Service of the request.
            shard: Shard of the request's key.
            token: Fencing token that the dispatcher sent.
            now: Time on the server's clock, in seconds.
        """
        shard_id = (service, shard)
        grants = (group.by_shard.get(shard_id) for group in self._groups())
        return any(
            grant is not None and grant.admits(token, now) for grant in grants
        )

    def owns(
        self,
        service: ServiceName,
        shard: ShardNumber,
        now: float,
    ) -> bool:
        """Return whether a live grant covers the shard, draining or not."""
        shard_id = (service, shard)
        grants = (group.by_shard.get(shard_id) for group in self._groups())
        return any(grant is not None and grant.until > now for grant in grants)

    def begin(self, service: ServiceName, shard: ShardNumber) -> None:
        """Count an admitted request as in flight."""
        self._in_flight[service, shard] += 1

    def finish(self, service: ServiceName, shard: ShardNumber) -> None:
        """Count an admitted request as ended."""
        shard_id = (service, shard)
        self._in_flight[shard_id] -= 1
        if not self._in_flight[shard_id]:
            self._in_flight.pop(shard_id)

    def _groups(self) -> tuple[GroupGrants, ...]:
        return tuple(self._by_group.values())

    def _refusal(
        self,
        order: ServerOrder,
        group: GroupGrants,
        now: float,
    ) -> Refusal | None:
        rules = self._rules
        if rules.server_fence and order.epoch < group.epoch:
            return Refusal.EPOCH
        if isinstance(order, FenceOrder):
            return None
        if rules.incarnation and order.incarnation != self._incarnation:
            return Refusal.INCARNATION
        is_stale = group.is_stale(order.epoch, order.sequence)
        if rules.order_sequence and is_stale:
            return Refusal.SEQUENCE
        if isinstance(order, GrantOrder) and order.echo > now:
            return Refusal.CLOCK
        return None

    def _apply(
        self,
        order: ServerOrder,
        group: GroupGrants,
        now: float,
    ) -> None:
        if isinstance(order, FenceOrder):
            group.accept(order.epoch)
        elif isinstance(order, ReleaseOrder):
            group.drain(order)
        elif self._rules.echo:
            group.apply(order, now)
        else:
            group.apply(replace(order, echo=now), now)
