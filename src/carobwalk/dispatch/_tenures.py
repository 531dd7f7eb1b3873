"""Since when this process alone has sent to the owner of a shard."""

from dataclasses import dataclass

from carobwalk.dispatch._context import DispatchContext
from carobwalk.model import FenceToken, RequestHead, ServerId


@dataclass(frozen=True, slots=True)
class Tenure:
    """Unbroken time under one dispatcher lease and one grant.

    Args:
        lease: Token of the dispatcher's own lease.
        grant: Token of the owner's grant.
    """

    lease: FenceToken
    grant: FenceToken


class Tenures:
    """Begins of the tenures of one server's shards.

    Args:
        server: The backend server.
        context: Shared collaborators.
    """

    def __init__(self, server: ServerId, context: DispatchContext) -> None:
        self._server = server
        self._context = context

    def begin_of(self, head: RequestHead) -> float:
        """Return when the tenure that a request is sent under began.

        Before that time another process may have sent requests of its shard.

        Returns:
            Seconds since 1970 on this host's clock.
        """
        context = self._context
        held_since = context.leases.held_since(
            self._server,
            head.service,
            head.key,
        )
        return context.wall_clock() - (context.clock.now() - held_since)
