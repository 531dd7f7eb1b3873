"""Assignment of dispatchers to the backend servers of a group."""

from carobwalk.model import Endpoint, ProcessId, ServerId
from carobwalk.ownership._context import group_of
from carobwalk.ownership._dispatcher_selector import DispatcherSelector
from carobwalk.ownership._entry_link import EntryLink
from carobwalk.ownership._exceptions import TwoDispatchersError
from carobwalk.ownership._group_state import GroupState
from carobwalk.ownership._map_events import DispatcherAssigned


class DispatcherAssignments:
    """Leases every server of the group to exactly one dispatcher.

    A new coordinator first adopts the leases that entries report, and after
    the adoption window assigns the servers without a dispatcher. A dispatcher
    that receives pushes only from the previous coordinator is fenced by the
    servers, which admit only requests with the current token.

    Args:
        state: Coordinator's state of the group.
    """

    def __init__(self, state: GroupState) -> None:
        self.entries: dict[ProcessId, EntryLink] = {}
        self.by_server: dict[ServerId, ProcessId] = {}
        self._state = state
        self._selector = DispatcherSelector(state)
        self._releasing: dict[ServerId, int] = {}
        self._assign_after = state.now() + state.context.times.adoption_window

    def decide(self) -> None:
        """Adopt reported leases, end expired ones and assign free servers."""
        self._adopt()
        for server in tuple(self.by_server):
            self._update(server)
        if self._state.now() > self._assign_after:
            for endpoint in self._servers():
                self._assign(endpoint)

    def leases_of(self, process: ProcessId) -> tuple[ServerId, ...]:
        """Return the servers that the next push leases to an entry."""
        return tuple(
            server
            for server, dispatcher in self.by_server.items()
            if dispatcher == process and server not in self._releasing
        )

    def endpoints(self) -> tuple[Endpoint, ...]:
        """Return the processes that are dispatcher of a server."""
        return tuple(
            self.entries[process].endpoint
            for process in sorted(set(self.by_server.values()))
        )

    def _servers(self) -> list[Endpoint]:
        return [
            host.endpoint
            for host in self._state.hosts.servers()
            if group_of(host.endpoint) == self._state.group
        ]

    def _adopt(self) -> None:
        for process, link in self.entries.items():
            for server in link.leases:
                if server not in self.by_server:
                    self._set_dispatcher(server, process)

    def _update(self, server: ServerId) -> None:
        link = self.entries[self.by_server[server]]
        released = self._is_released(server, link)
        if released or self._state.now() > link.expires_at:
            self.by_server.pop(server)
            self._releasing.pop(server, None)
        elif link.leaving and server not in self._releasing:
            self._releasing[server] = link.sequence + 1
            link.wake.set()

    def _is_released(self, server: ServerId, link: EntryLink) -> bool:
        release = self._releasing.get(server)
        if release is None:
            return False
        return link.applied >= release and server not in link.leases

    def _assign(self, endpoint: Endpoint) -> None:
        server = ServerId(endpoint.name)
        if server in self.by_server:
            return
        chosen = self._selector.choose(
            endpoint,
            tuple(self.entries.values()),
            self.by_server,
        )
        if chosen is not None:
            self._set_dispatcher(server, chosen.process)

    def _set_dispatcher(self, server: ServerId, process: ProcessId) -> None:
        if server in self.by_server:
            raise TwoDispatchersError(
                f'{server} already has a dispatcher in {self._state.group}',
            )
        times = self._state.context.times
        link = self.entries[process]
        expires_at = link.answered_at + times.ttl_with_drift(times.lease_ttl)
        link.expires_at = max(link.expires_at, expires_at)
        self.by_server[server] = process
        link.wake.set()
        self._state.emit(
            DispatcherAssigned(
                group=self._state.group,
                epoch=self._state.epoch,
                server=server,
                dispatcher=process,
            ),
        )
