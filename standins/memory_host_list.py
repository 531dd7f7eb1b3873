"""In-memory stand-in for the platform's host list."""

from dataclasses import replace

import trio
from result import Err, Ok, Result

from carobwalk.store import Host, HostListError


class MemoryHostList:
    """Host list whose changes become visible after a lag.

    Args:
        lag: Time until a change is visible to readers, in seconds.
        hosts: Initial hosts.
    """

    def __init__(self, lag: float = 0, hosts: tuple[Host, ...] = ()) -> None:
        self.lag = lag
        self.down = False
        self._hosts_by_name = {host.endpoint.name: host for host in hosts}
        self._history = [(float('-inf'), hosts)]

    def put(self, host: Host) -> None:
        """Add a host, or replace the one of the same name."""
        self._hosts_by_name[host.endpoint.name] = host
        self._record()

    def remove(self, name: str) -> None:
        """Remove a host from the list."""
        self._hosts_by_name.pop(name, None)
        self._record()

    def mark_leaving(self, name: str) -> None:
        """Mark a listed host as leaving."""
        self.put(replace(self._hosts_by_name[name], leaving=True))

    async def read(self) -> Result[tuple[Host, ...], HostListError]:
        """Return the hosts as listed ``lag`` seconds ago."""
        await trio.lowlevel.checkpoint()
        if self.down:
            return Err(HostListError('the host list is down'))
        shown_until = trio.current_time() - self.lag
        visible = [
            hosts for moment, hosts in self._history if moment <= shown_until
        ]
        return Ok(visible[-1])

    def _record(self) -> None:
        hosts = tuple(self._hosts_by_name.values())
        self._history.append((trio.current_time(), hosts))
