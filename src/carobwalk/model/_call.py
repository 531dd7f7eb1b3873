"""A request with its body, and where its answer goes."""

from dataclasses import dataclass, field
from typing import Protocol

from carobwalk.model._call_progress import CallProgress
from carobwalk.model._request_head import Headers, RequestHead


class BodySource(Protocol):
    """Body of a request, read once, in order."""

    async def receive(self) -> bytes:
        """Return the next chunk, or ``b''`` at the end.

        Raises:
            BodyError: If the sender went away before the end of the body.
        """


class ReplySink(Protocol):
    """Receiver of one answer.

    An answer is complete only when the forwarder returns ``Ok``; the caller's
    connection is broken off if it fails after ``start``.
    """

    async def start(self, status: int, headers: Headers) -> None:
        """Pass on the status line and the header fields; called once."""

    async def write(self, chunk: bytes) -> None:
        """Pass on a part of the body; waits while the reader is slow.

        Raises:
            CallerGoneError: If the caller closed its connection.
        """


@dataclass(frozen=True, slots=True)
class Call:
    """A classified request and its body.

    Args:
        head: Classified head.
        body: Body, read once.
        progress: Marked before the first byte goes to a backend server.
    """

    head: RequestHead
    body: BodySource
    progress: CallProgress = field(default_factory=CallProgress)
