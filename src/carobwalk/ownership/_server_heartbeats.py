"""Heartbeats of a coordinator to the backend servers of its region."""

import itertools

import trio
from result import Err

from carobwalk.model import ServerId
from carobwalk.ownership._context import region_of
from carobwalk.ownership._group_state import GroupState
from carobwalk.ownership._server_link import ServerLink
from carobwalk.ownership._server_messages import (
    FenceOrder,
    GrantOrder,
    GrantReport,
    Refusal,
    ServerOrder,
)
from carobwalk.store import Host


class ServerHeartbeats:
    """Runs one task per server that fences it and then renews its grants.

    Args:
        state: Coordinator's state of the group.
    """

    def __init__(self, state: GroupState) -> None:
        self._state = state
        self._context = state.context
        # A server that left the host list and returned gets a new link. It
        # refuses orders whose sequence is not above the last one, so
        # the sequence must not restart.
        self._sequences = itertools.count(1)

    async def run(self) -> None:
        """Follow the host list and start a task for each new server."""
        async with trio.open_nursery() as nursery:
            while True:
                for host in self._hosts():
                    self._track(host, nursery)
                await trio.sleep(self._context.times.heartbeat)

    def _hosts(self) -> list[Host]:
        region = region_of(self._state.group)
        return [
            host
            for host in self._state.hosts.servers()
            if host.endpoint.region == region
            and self._context.is_keyed(host.service)
        ]

    def _track(self, host: Host, nursery: trio.Nursery) -> None:
        server = ServerId(host.endpoint.name)
        link = self._state.links.get(server)
        if link is None and host.service is not None:
            link = ServerLink(endpoint=host.endpoint, service=host.service)
            self._state.links[server] = link
            nursery.start_soon(self._heartbeat_loop, link)
        if link is not None:
            link.listed_leaving = host.leaving

    async def _heartbeat_loop(self, link: ServerLink) -> None:
        while not self._is_removed(link):
            link.wake = trio.Event()
            # The grants of an unlisted server are not renewed.
            if not self._state.hosts.is_removed(link.server):
                await self._exchange(link)
            with trio.move_on_after(self._context.times.heartbeat):
                await link.wake.wait()
        self._state.links.pop(link.server)

    def _is_removed(self, link: ServerLink) -> bool:
        if not self._state.hosts.is_removed(link.server):
            return False
        return not any(self._state.owned.of_server(link.server))

    async def _exchange(self, link: ServerLink) -> None:
        order = self._next_order(link)
        answer = await self._context.channel.send(
            link.endpoint,
            order,
            self._context.times.order_timeout,
        )
        if isinstance(answer, Err):
            return
        self._handle_report(link, order, answer.ok_value)

    def _handle_report(
        self,
        link: ServerLink,
        order: ServerOrder,
        report: GrantReport,
    ) -> None:
        if report.epoch > self._state.epoch:
            self._state.signals.deposed.set()
            return
        now = self._state.now()
        previous = (link.holder, link.tokens, link.leaving)
        link.apply_report(report, self._state.epoch, now)
        is_fence = isinstance(order, FenceOrder)
        if is_fence and report.refusal is not Refusal.EPOCH:
            link.fence = report
            link.fenced_at = now
        # A report without changes does not wake the decision loop.
        if is_fence or previous != (link.holder, link.tokens, link.leaving):
            self._state.trigger_decision()

    def _next_order(self, link: ServerLink) -> ServerOrder:
        state = self._state
        holder = link.holder
        if link.fence is None or holder is None:
            return FenceOrder(group=state.group, epoch=state.epoch)
        ttl = self._context.times.grant_ttl
        owned = state.owned.assignment_of(holder)
        if owned.granted or owned.releasing:
            expires_at = link.reported_at + self._context.times.ttl_with_drift(
                ttl
            )
            expires_at += state.context.drain_seconds_of(link.service)
            link.extend(holder.incarnation, expires_at)
        link.sequence = next(self._sequences)
        if not state.store_status.autonomous:
            link.autonomous = False
        return GrantOrder(
            group=state.group,
            epoch=state.epoch,
            sequence=link.sequence,
            incarnation=holder.incarnation,
            echo=link.echo,
            ttl=ttl,
            shards=owned.granted,
            releasing=owned.releasing,
            autonomous=state.store_status.autonomous,
        )
