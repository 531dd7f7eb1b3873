"""Operators' view of the quarantine."""

import time
from collections.abc import Callable
from dataclasses import dataclass

from carobwalk.admin import QuarantinedRequest
from carobwalk.app._quarantine_spread import QuarantineSpread
from carobwalk.dispatch import Quarantine, Suspect
from carobwalk.events import Event, EventLog
from carobwalk.model import OperatorName


@dataclass(frozen=True, slots=True)
class QuarantineCleared(Event):
    """An operator let a request through again.

    Args:
        identity: Identity of the request across its repeats.
        operator: Who cleared it.
    """

    identity: str
    operator: str


class ProcessQuarantineDesk:
    """Shows the quarantine of a process and clears it on all entries.

    Args:
        quarantine: Returns the quarantine of this process.
        spread: Tells other entries.
        events: Log of events.
    """

    def __init__(
        self,
        quarantine: Callable[[], Quarantine],
        spread: QuarantineSpread,
        events: EventLog,
    ) -> None:
        self._quarantine = quarantine
        self._spread = spread
        self._events = events

    def entries(self) -> tuple[QuarantinedRequest, ...]:
        """Return the requests against which a lost server counts."""
        return tuple(map(self._describe, self._quarantine().entries))

    async def clear(self, identity: str, operator: OperatorName) -> bool:
        """Let a request through again, on every entry.

        Returns:
            Whether the request was in quarantine.
        """
        quarantine = self._quarantine()
        for suspect in quarantine.entries:
            if str(suspect.id) == identity:
                quarantine.clear(suspect.id)
                self._events.emit(QuarantineCleared(identity, operator))
                await self._spread.tell(quarantine.snapshot())
                return True
        return False

    def _describe(self, suspect: Suspect) -> QuarantinedRequest:
        return QuarantinedRequest(
            identity=str(suspect.id),
            service=suspect.description,
            servers=tuple(incident.server for incident in suspect.incidents),
            expires_in=suspect.expires_at - time.time(),
        )
