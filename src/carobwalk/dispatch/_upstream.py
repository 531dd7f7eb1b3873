"""Interface of the connection pool of one backend server."""

from dataclasses import dataclass
from typing import Protocol

from result import Result

from carobwalk.dispatch._send_gate import SendGate
from carobwalk.dispatch._upstream_failures import UpstreamFailure
from carobwalk.model import BodySource, Completion, ReplySink, RequestHead
from carobwalk.model import ShardNumber as Shard


@dataclass(frozen=True, slots=True)
class UpstreamRequest:
    """A request that holds a slot of its backend server.

    Args:
        head: The request.
        body: Its body, from the start.
        shard: Shard of the key; ``None`` for unkeyed requests.
        gate: Must be opened exactly once, immediately before the first byte
            is written.
        expires_at: Deadline of the request on the dispatcher's clock.
    """

    head: RequestHead
    body: BodySource
    shard: Shard | None
    gate: SendGate
    expires_at: float


class Upstream(Protocol):
    """Bounded connection pool of one backend server."""

    async def exchange(
        self,
        request: UpstreamRequest,
        sink: ReplySink,
    ) -> Result[Completion, UpstreamFailure]:
        """Send a request once and forward its response.

        Cancelling the task closes the connection. A refusal of the server is
        returned as a failure and not written to the sink.

        Args:
            request: The request; its gate is opened before the first byte.
            sink: Receiver of the response.
        """

    async def aclose(self) -> None:
        """Close the idle connections."""
