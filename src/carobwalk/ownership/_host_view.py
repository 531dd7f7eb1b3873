"""The host list as this process last read it."""

from math import inf

import trio
from result import Ok

from carobwalk.model import Endpoint, RegionName, ServiceName
from carobwalk.ownership._context import OwnershipContext, group_of
from carobwalk.store import Host


class HostView:
    """Keeps the last reading of the host list, and how long hosts are off it.

    Args:
        context: Surroundings of the process.
    """

    def __init__(self, context: OwnershipContext) -> None:
        self.by_name: dict[str, Host] = {}
        self.changed_at = context.clock.now()
        self._context = context
        self._last_seen: dict[str, float] = {}
        self._read_at: float | None = None

    async def run(self) -> None:
        """Read the list again and again."""
        while True:
            await self.refresh()
            await trio.sleep(self._context.times.host_list_interval)

    async def refresh(self) -> None:
        """Read the list once; keep the last reading if that fails."""
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

    def is_gone(self, name: str, since: float = -inf) -> bool:
        """Return whether a host was off the list for the absence time.

        The time runs from the reading that last listed the host to the last
        reading, so that an unreadable list makes nobody gone. A host that
        this process never saw counts from its first reading.

        Args:
            name: Name of the host.
            since: Reading of this process's clock before which the list may
                have told of an earlier absence of the host. The absence time
                exceeds the list's lag, so that a list which has not shown
                the host since then is newer than that.
        """
        if self._read_at is None or name in self.by_name:
            return False
        last = self._last_seen.setdefault(name, self._read_at)
        absent_for = self._read_at - max(last, since)
        return absent_for >= self._context.times.absence

    def entries(self) -> tuple[Endpoint, ...]:
        """Return the listed processes of the system, by name."""
        return tuple(
            self.by_name[name].endpoint
            for name in sorted(self.by_name)
            if self.by_name[name].service is None
        )

    def servers(self) -> tuple[Host, ...]:
        """Return the listed backend servers, by name."""
        return tuple(
            self.by_name[name]
            for name in sorted(self.by_name)
            if self.by_name[name].service is not None
        )

    def groups_of(self, service: ServiceName) -> tuple[str, ...]:
        """Return the groups that have servers of a service, by name."""
        found = {
            group_of(host.endpoint)
            for host in self.servers()
            if host.service == service
        }
        return tuple(sorted(found))

    def groups_in(self, region: RegionName) -> tuple[str, ...]:
        """Return the groups of a region that have servers, by name."""
        found = {
            group_of(host.endpoint)
            for host in self.servers()
            if host.endpoint.region == region
        }
        return tuple(sorted(found))
