"""Backend servers that shut down, and since when."""

from typing import Final

from carobwalk.directory._server_incarnation import ServerIncarnation
from carobwalk.model import Clock, ServerId

# How long a leaving server may still get requests for its keys while they are
# handed over.
_HANDOVER_GRACE_SECONDS: Final = 1.2


class LeavingServers:
    """Servers that shut down by their entry or by their own answers.

    Args:
        clock: Clock by which the time to hand over keys is measured.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._since_by_id: dict[ServerId, float] = {}
        self._announced: set[ServerIncarnation] = set()

    def add(self, server: ServerId) -> None:
        """Record that a server shuts down, from now if it didn't before."""
        self._since_by_id.setdefault(server, self._clock.now())

    def discard(self, server: ServerId) -> None:
        """Record that a server doesn't shut down, or is gone."""
        self._since_by_id.pop(server, None)
        self._announced = {
            incarnation
            for incarnation in self._announced
            if incarnation.server != server
        }

    def announce(self, incarnation: ServerIncarnation) -> None:
        """Record that a server said in an answer that it shuts down."""
        self._announced.add(incarnation)

    def announced(self) -> frozenset[ServerIncarnation]:
        """Return the servers that said in an answer that they shut down."""
        return frozenset(self._announced)

    def has_announced(self, incarnation: ServerIncarnation) -> bool:
        """Return whether a server said in an answer that it shuts down."""
        return incarnation in self._announced

    def may_hand_over(self, server: ServerId) -> bool:
        """Return whether a server may still be sent requests for its keys."""
        since = self._since_by_id.get(server)
        return (
            since is None or self._clock.now() < since + _HANDOVER_GRACE_SECONDS
        )
