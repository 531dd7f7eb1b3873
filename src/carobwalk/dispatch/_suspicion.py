"""Link between requests at a dispatcher and the quarantine."""

import trio

from carobwalk.dispatch._context import DispatchContext, Spread
from carobwalk.dispatch._events import RequestSuspected
from carobwalk.dispatch._passage import Passage
from carobwalk.dispatch._quarantine import Quarantine
from carobwalk.dispatch._request_identity import identity_of
from carobwalk.dispatch._suspect import Suspect

_SPREAD_SECONDS = 0.2


class Suspicion:
    """Looks requests up in the quarantine, and enters losses there.

    Args:
        server: Backend server of the dispatcher.
        quarantine: Suspects of the process.
        context: Shared collaborators.
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

    async def find(self, passage: Passage) -> Suspect | None:
        """Return what counts against a request.

        The start of its body is read only where another request with the
        same head is known.

        Raises:
            BodyError: If the caller left within the start of its body.
        """
        identity = identity_of(passage.head)
        for length in self._quarantine.lengths(identity.head):
            prefix = await passage.body.prefix(length)
            found = self._quarantine.find(identity.suspect_id(prefix))
            if found is not None:
                return found
        return None

    async def blame(self, passage: Passage) -> Suspect:
        """Count the loss of the server against a request, on all entries."""
        head = passage.head
        suspect_id = identity_of(head).suspect_id(passage.body.start)
        suspect = self._quarantine.blame(
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
                convicted=suspect.is_convicted,
            ),
        )
        await _within_bound(self._context.spread, self._quarantine.snapshot())
        return suspect

    def absolve(self, suspect: Suspect) -> None:
        """Clear a request that was answered while it ran alone."""
        self._quarantine.clear(suspect.id)


async def _within_bound(spread: Spread, snapshot: bytes) -> None:
    with trio.move_on_after(_SPREAD_SECONDS):
        await spread(snapshot)
