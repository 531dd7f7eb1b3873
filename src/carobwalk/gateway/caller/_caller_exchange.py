"""Request of a connection, and its response."""

from typing import Final

import h11
import trio

from carobwalk.gateway._caller_request import CallerRequest
from carobwalk.gateway._reply import Reply
from carobwalk.gateway.caller._connection_memory import MessageShare
from carobwalk.gateway.caller._pipeline import Stage

# States of a caller after a request that another one may follow. A request for
# an upgrade is answered like any other.
_REUSABLE: Final = frozenset((str(h11.DONE), 'MIGHT_SWITCH_PROTOCOL'))


class CallerExchange:
    """One request of a connection, until its response is sent.

    Args:
        protocol: State of the protocol that has parsed the request, ``None``
            once a further request is parsed.
        method: HTTP method, empty if the head could not be read.
        request: The request, ``None`` if it is refused or answered.
        reply: The response, ``None`` as long as there is none.
        expected_bytes: Size that the body of the response will probably have.
    """

    def __init__(
        self,
        protocol: h11.Connection,
        method: bytes,
        request: CallerRequest | None = None,
        reply: Reply | None = None,
        expected_bytes: int = 0,
    ) -> None:
        self.protocol: h11.Connection | None = protocol
        self.method = method
        self.request = request
        self.reply = reply
        self.stage = Stage.ANSWERED if reply else Stage.WAITING
        self.scope = trio.CancelScope()
        # Memory of the response, and of the request if it was read ahead.
        self.answer_share: MessageShare | None = None
        self.request_share: MessageShare | None = None
        # A refused request may not have been read completely.
        self.is_refused = reply is not None
        self.is_last = (
            self.is_refused or str(protocol.their_state) not in _REUSABLE
        )
        self._expected_bytes = expected_bytes

    @property
    def is_idempotent(self) -> bool:
        """Whether the request may run at the same time as others."""
        return self.request is None or self.request.route.is_idempotent

    @property
    def answer_bytes(self) -> int:
        """Size of the response, or the size that it asked for in vain."""
        asked = self.answer_share.asked_bytes if self.answer_share else 0
        return max(asked, len(self.reply.body) if self.reply else 0)

    @property
    def missing_bytes(self) -> int:
        """Memory that the response is expected to need beyond what it has."""
        held = self.answer_share.held_bytes if self.answer_share else 0
        return max(self._expected_bytes - held, 0)

    def drop_request(self) -> None:
        """Free the memory of the request, which has ended."""
        self.request = None
        if self.request_share is not None:
            self.request_share.release()

    def release(self) -> None:
        """Free the memory of the request and the response."""
        self.drop_request()
        self.reply = None
        if self.answer_share is not None:
            self.answer_share.release()
