"""Selection of a server's dispatcher."""

from collections.abc import Mapping

from carobwalk.model import Endpoint, ProcessId, ServerId
from carobwalk.ownership._context import region_of
from carobwalk.ownership._entry_link import EntryLink
from carobwalk.ownership._group_state import GroupState
from carobwalk.ownership._rendezvous import rendezvous_score


class DispatcherSelector:
    """Selects dispatchers for servers.

    Entries of the server's own data centre come first, then entries that
    dispatch to fewer servers.

    Args:
        state: Coordinator's state of the group.
    """

    def __init__(self, state: GroupState) -> None:
        self._state = state

    def choose(
        self,
        server: Endpoint,
        links: tuple[EntryLink, ...],
        by_server: Mapping[ServerId, ProcessId],
    ) -> EntryLink | None:
        """Return the preferred live entry of the region, ``None`` without one.

        Args:
            server: Server that needs a dispatcher.
            links: State of all entries.
            by_server: Current dispatchers by server.
        """
        region = region_of(self._state.group)
        usable = [
            link
            for link in links
            if link.endpoint.region == region and self._is_usable(link)
        ]
        if not usable:
            return None
        return min(usable, key=lambda link: _cost(link, server, by_server))

    def _is_usable(self, link: EntryLink) -> bool:
        silence = self._state.now() - link.answered_at
        return (
            not link.leaving
            and silence <= self._state.context.times.liveness_timeout
        )


def _cost(
    link: EntryLink,
    server: Endpoint,
    by_server: Mapping[ServerId, ProcessId],
) -> tuple[bool, int, int]:
    count = sum(process == link.process for process in by_server.values())
    is_elsewhere = link.endpoint.data_centre != server.data_centre
    return (is_elsewhere, count, -rendezvous_score(server.name, link.process))
