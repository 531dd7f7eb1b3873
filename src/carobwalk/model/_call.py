"""A request with its body, and the receiver of its response."""

from dataclasses import dataclass, field
from typing import Protocol

from carobwalk.model._call_progress import CallProgress
from carobwalk.model._request_head import Headers, RequestHead


class BodySource(Protocol):
    """Stream of a request body, which can be read only once."""

    async def receive(self) -> bytes:
        """Return the next chunk, or ``b''`` at the end.

        Raises:
            BodyError: If the sender disconnected before the end of the body.
        """


class ReplySink(Protocol):
    """Receiver of one response.

    A response is complete only when the forwarder returns ``Ok``; if
    forwarding fails after ``start``, the connection to the caller is aborted.
    """

    async def start(self, status: int, headers: Headers) -> None:
        """Send the status line and the header fields; called once."""

    async def write(self, chunk: bytes) -> None:
        """Send a chunk of the body, waiting while the caller reads slowly.

        Raises:
            CallerGoneError: If the caller closed its connection.
        """


@dataclass(frozen=True, slots=True)
class Call:
    """A classified request and its body.

    Args:
        head: Request line, header fields and classification.
        body: Stream of the body, which can be read only once.
        progress: Updated before the first byte is sent to a backend server.
    """

    head: RequestHead
    body: BodySource
    progress: CallProgress = field(default_factory=CallProgress)
