"""Access of a dispatcher to the quarantine."""

import trio

from carobwalk.dispatch._context import Broadcast, DispatchContext
from carobwalk.dispatch._dispatch_request import DispatchRequest
from carobwalk.dispatch._events import RequestSuspected
from carobwalk.dispatch._quarantine import Quarantine
from carobwalk.dispatch._request_identity import identity_of
from carobwalk.dispatch._suspect import Suspect

_BROADCAST_TIMEOUT_SECONDS = 0.2


class SuspectTracker:
    """Looks up requests in the quarantine and records losses there.

    Args:
        server: Backend server of the dispatcher.
        quarantine: Suspected requests of the process.
        context: Shared dependencies.
    """

    def __init__(
        self,
        server: str,
        quarantine: Quarantine,
        context: DispatchContext,
    ) -> None:
        self._server = server
        self._quarantine = quarantine
        self._context = context

    async def find(self, request: DispatchRequest) -> Suspect | None:
        """Return the suspect entry of a request, if it has one.

        The start of the body is read only if a suspect with the same head
        exists.

        Raises:
            BodyError: If the caller disconnected while the start of the body
                was read.
        """
        identity = identity_of(request.head)
        for length in self._quarantine.lengths(identity.head):
            prefix = await request.body.prefix(length)
            found = self._quarantine.find(identity.suspect_id(prefix))
            if found is not None:
                return found
        return None

    async def record_loss(self, request: DispatchRequest) -> Suspect:
        """Attribute the loss of the server to a request, on all entries.

        Returns:
            The updated suspect entry of the request.
        """
        head = request.head
        suspect_id = identity_of(head).suspect_id(request.body.start)
        suspect = self._quarantine.record_loss(
            suspect_id,
            f'{head.method} {head.target}',
            self._server,
        )
        self._context.events.emit(
            RequestSuspected(
                request=head.request_id,
                service=head.service,
                server=self._server,
                losses=len(suspect.incidents),
                convicted=suspect.is_quarantined,
            ),
        )
        await _broadcast_with_timeout(
            self._context.broadcast, self._quarantine.snapshot()
        )
        return suspect

    def clear_suspect(self, suspect: Suspect) -> None:
        """Clear a request that completed while it ran exclusively."""
        self._quarantine.clear(suspect.id)


async def _broadcast_with_timeout(
    broadcast: Broadcast, snapshot: bytes
) -> None:
    with trio.move_on_after(_BROADCAST_TIMEOUT_SECONDS):
        await broadcast(snapshot)
