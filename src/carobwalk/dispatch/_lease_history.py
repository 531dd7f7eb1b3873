"""Duration of the leases and grants under which requests are sent."""

from dataclasses import dataclass

from carobwalk.dispatch._context import DispatchContext
from carobwalk.model import FenceToken, RequestHead, ServerId


@dataclass(frozen=True, slots=True)
class SendTokens:
    """Fencing tokens under which a request is sent.

    They stay equal as long as neither lease nor grant is interrupted.

    Args:
        lease: Token of the dispatcher's own lease.
        grant: Token of the owner's grant; that of the lease for unkeyed
            requests.
    """

    lease: FenceToken
    grant: FenceToken


class LeaseHistory:
    """Determines since when the lease and grant of a request are held.

    Args:
        server: The backend server.
        context: Shared dependencies.
    """

    def __init__(self, server: ServerId, context: DispatchContext) -> None:
        self._server = server
        self._context = context

    def held_since(self, head: RequestHead) -> float:
        """Return since when the lease and grant of a request are held.

        Before that time another process may have sent requests of the shard.

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
