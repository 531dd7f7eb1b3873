"""Contract of the connections to one backend server."""

from dataclasses import dataclass
from typing import Protocol

from result import Result

from carobwalk.dispatch._send_gate import SendGate
from carobwalk.dispatch._upstream_failures import UpstreamFailure
from carobwalk.model import BodySource, Completion, ReplySink, RequestHead
from carobwalk.model import ShardNumber as Shard


@dataclass(frozen=True, slots=True)
class UpstreamRequest:
    """A request that has a slot of its backend server.

    Args:
        head: The request.
        body: Its body, from the start.
        shard: Shard of the key; ``None`` for unkeyed work.
        gate: Opened once, directly before the first byte is written.
        expires_at: End of the request's time on the dispatcher's clock.
    """

    head: RequestHead
    body: BodySource
    shard: Shard | None
    gate: SendGate
    expires_at: float


class Upstream(Protocol):
    """Bounded set of connections to one backend server."""

    async def exchange(
        self,
        request: UpstreamRequest,
        sink: ReplySink,
    ) -> Result[Completion, UpstreamFailure]:
        """Send a request once and pass its answer on.

        Cancelling the task closes the connection. The sink is started only
        with an answer that is not a refusal.

        Args:
            request: The request; its gate is opened before the first byte.
            sink: Receiver of the answer.
        """

    async def aclose(self) -> None:
        """Close the idle connections."""
