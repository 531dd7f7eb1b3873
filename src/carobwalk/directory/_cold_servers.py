"""Backend servers that are slow for a time, and until when."""

from dataclasses import dataclass, replace

from carobwalk.directory._backend_server import BackendServer
from carobwalk.directory._server_incarnation import ServerIncarnation
from carobwalk.model import Clock, ServerId


@dataclass(frozen=True, slots=True)
class _Warmup:
    server: BackendServer
    revision: int
    until: float
    is_announced: bool


class ColdServers:
    """Servers that are warming up by their entries.

    The time that an entry states counts from its arrival on the local clock.
    An entry that arrives again with a revision already seen, such as after an
    outage of the store, doesn't extend it.

    Args:
        clock: Clock by which the time is measured.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._warmups_by_id: dict[ServerId, _Warmup] = {}

    def record(self, server: BackendServer, revision: int) -> bool:
        """Record what an entry says of its server.

        Args:
            server: Content of the entry.
            revision: Store revision of the entry.

        Returns:
            Whether the server has become cold.
        """
        known = self._warmups_by_id.get(server.id)
        if known is not None and known.server.born != server.born:
            known = None
        if known is None and not server.warmup_left:
            self._warmups_by_id.pop(server.id, None)
            return False
        if known is not None and not _is_news(known, server, revision):
            return False
        is_cold = bool(server.warmup_left)
        was_cold = known is not None and known.is_announced
        self._warmups_by_id[server.id] = _Warmup(
            server,
            revision,
            self._clock.now() + (server.warmup_left or 0),
            is_cold or was_cold,
        )
        return is_cold and not was_cold

    def discard(self, server: ServerId) -> None:
        """Forget a server that is gone."""
        self._warmups_by_id.pop(server, None)

    def seconds_left(self, incarnation: ServerIncarnation) -> float:
        """Return how much longer a server is cold, 0 if it isn't."""
        warmup = self._warmups_by_id.get(incarnation.server)
        if warmup is None or warmup.server.born != incarnation.born:
            return 0
        return max(warmup.until - self._clock.now(), 0)

    def all_cold(self) -> list[BackendServer]:
        """Return the servers that are cold now."""
        now = self._clock.now()
        return [
            warmup.server
            for warmup in self._warmups_by_id.values()
            if warmup.until > now
        ]

    def pop_warmed(self) -> list[BackendServer]:
        """Return the servers that have become warm since the last call."""
        now = self._clock.now()
        warmed = []
        for server, warmup in tuple(self._warmups_by_id.items()):
            if warmup.is_announced and warmup.until <= now:
                # Kept for its revision.
                self._warmups_by_id[server] = replace(
                    warmup, is_announced=False
                )
                warmed.append(warmup.server)
        return warmed


def _is_news(known: _Warmup, server: BackendServer, revision: int) -> bool:
    return server.warmup_left is not None and revision > known.revision
