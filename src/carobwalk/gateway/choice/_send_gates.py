"""Admission of requests to all backend servers by their own notices."""

from collections.abc import Callable

import trio

from carobwalk.directory import BackendServer, ServerDirectory
from carobwalk.gateway._server_notice import ServerNotice
from carobwalk.gateway.choice._server_load import ServerLoad
from carobwalk.shares import ProcessShare


class SendGates:
    """Gates of the backend servers, which are part of their loads.

    Args:
        load_of: Returns the load of a server.
        directory: Registered backend servers; told of those that shut down.
        share: Share of this process in the limits of servers.
    """

    def __init__(
        self,
        load_of: Callable[[BackendServer], ServerLoad],
        directory: ServerDirectory,
        share: ProcessShare,
    ) -> None:
        self._load_of = load_of
        self._directory = directory
        self._share = share

    def apply(self, server: BackendServer, notice: ServerNotice) -> None:
        """Apply what a server says of itself to later requests."""
        self._load_of(server).gate.apply(notice, trio.current_time())
        if notice.is_leaving:
            self._directory.record_leaving(server.incarnation)

    def accepts_keyed(self, server: BackendServer) -> bool:
        """Return whether a server may be sent requests for its keys.

        One that shuts down may be for a short time, until they are handed over.
        """
        return self._directory.accepts_keyed_requests(server)

    def pause(self, server: BackendServer) -> float:
        """Return the seconds until a server accepts the next request.

        It is 0 unless the server has limited the requests to it. It does not
        tell whether the server has capacity.
        """
        gate = self._load_of(server).gate
        return gate.pause(trio.current_time(), self._share.cautious_sharers)

    @property
    def sharers(self) -> int:
        """Number of processes that limits of servers are divided by."""
        return self._share.cautious_sharers

    def admit(self, server: BackendServer) -> None:
        """Record that a request is about to be sent to a server."""
        gate = self._load_of(server).gate
        gate.admit(trio.current_time(), self._share.cautious_sharers)
