"""This process's view of the host list."""

from math import inf

import trio
from result import Ok

from carobwalk.model import Endpoint, RegionName, ServiceName
from carobwalk.ownership._context import OwnershipContext, group_of
from carobwalk.store import Host


class HostView:
    """Keeps the last reading of the host list and when each host was listed.

    Args:
        context: Dependencies and settings of this process.
    """

    def __init__(self, context: OwnershipContext) -> None:
        self.by_name: dict[str, Host] = {}
        self.changed_at = context.clock.now()
        self._context = context
        self._last_seen: dict[str, float] = {}
        self._read_at: float | None = None

    async def run(self) -> None:
        """Read the list at intervals."""
        while True:
            await self.refresh()
            await trio.sleep(self._context.times.host_list_interval)

    async def refresh(self) -> None:
        """Read the list once; keep the previous reading if that fails."""
        answer = await self._context.host_list.read()
        if not isinstance(answer, Ok):
            return
        now = self._context.clock.now()
        hosts = {host.endpoint.name: host for host in answer.ok_value}
        if hosts != self.by_name:
            self.changed_at = now
        self.by_name = hosts
        self._read_at = now
        self._last_seen |= dict.fromkeys(hosts, now)

    def is_removed(self, name: str, since: float = -inf) -> bool:
        """Return whether a host has been unlisted for the absence timeout.

        The time is counted from the reading that last listed the host to the
        last reading, so that no host counts as removed while the list cannot be
        read. A host that was never listed is counted from the last reading
        before the first call for it.

        Args:
            name: Name of the host.
            since: Time on this process's clock from which an absence counts; an
                earlier absence may have ended since. The absence timeout
                exceeds the lag of the list, so that a list that did not show
                the host for that long is newer than this time.
        """
        if self._read_at is None or name in self.by_name:
            return False
        last = self._last_seen.setdefault(name, self._read_at)
        absent_for = self._read_at - max(last, since)
        return absent_for >= self._context.times.absence_timeout

    def entries(self) -> tuple[Endpoint, ...]:
        """Return the listed carobwalk processes, ordered by name."""
        return tuple(
            self.by_name[name].endpoint
            for name in sorted(self.by_name)
            if self.by_name[name].service is None
        )

    def servers(self) -> tuple[Host, ...]:
        """Return the listed backend servers, ordered by name."""
        return tuple(
            self.by_name[name]
            for name in sorted(self.by_name)
            if self.by_name[name].service is not None
        )

    def groups_of(self, service: ServiceName) -> tuple[str, ...]:
        """Return the groups that have servers of a service, ordered by name."""
        found = {
            group_of(host.endpoint)
            for host in self.servers()
            if host.service == service
        }
        return tuple(sorted(found))

    def groups_in(self, region: RegionName) -> tuple[str, ...]:
        """Return the groups of a region that have servers, ordered by name."""
        found = {
            group_of(host.endpoint)
            for host in self.servers()
            if host.endpoint.region == region
        }
        return tuple(sorted(found))
