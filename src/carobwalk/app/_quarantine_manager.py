"""Listing and clearing of quarantined requests by operators."""

import time
from collections.abc import Callable
from dataclasses import dataclass

from carobwalk.admin import QuarantinedRequest
from carobwalk.app._quarantine_replicator import QuarantineReplicator
from carobwalk.dispatch import Quarantine, Suspect
from carobwalk.events import Event, EventLog
from carobwalk.model import OperatorName


@dataclass(frozen=True, slots=True)
class QuarantineCleared(Event):
    """An operator removed a request from quarantine.

    Args:
        identity: Identity of the request, the same for all its retries.
        operator: Name of the operator.
    """

    identity: str
    operator: str


class QuarantineManager:
    """Lists the quarantine of this process and clears requests on all entries.

    Args:
        quarantine: Returns the quarantine of this process.
        replicator: Replicates the quarantine to the other entries.
        events: Event log.
    """

    def __init__(
        self,
        quarantine: Callable[[], Quarantine],
        replicator: QuarantineReplicator,
        events: EventLog,
    ) -> None:
        self._quarantine = quarantine
        self._replicator = replicator
        self._events = events

    def entries(self) -> tuple[QuarantinedRequest, ...]:
        """Return the requests that are suspected of crashing a server."""
        return tuple(map(self._describe, self._quarantine().entries))

    async def clear(self, identity: str, operator: OperatorName) -> bool:
        """Remove a request from quarantine on every entry.

        Args:
            identity: Identity of the request, the same for all its retries.
            operator: Name of the operator, written to the event log.

        Returns:
            Whether the request was in quarantine.
        """
        quarantine = self._quarantine()
        for suspect in quarantine.entries:
            if str(suspect.id) == identity:
                quarantine.clear(suspect.id)
                self._events.emit(QuarantineCleared(identity, operator))
                await self._replicator.broadcast(quarantine.snapshot())
                return True
        return False

    def _describe(self, suspect: Suspect) -> QuarantinedRequest:
        return QuarantinedRequest(
            identity=str(suspect.id),
            service=suspect.description,
            servers=tuple(incident.server for incident in suspect.incidents),
            expires_in=suspect.expires_at - time.time(),
        )
