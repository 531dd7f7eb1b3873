"""Requests suspected of crashing backend servers."""

import msgspec

_QUARANTINE_LOSSES = 2
_EXPIRY_SECONDS = 600


class Incident(msgspec.Struct, frozen=True, order=True):
    """Loss of a backend server while a request ran.

    Args:
        at: Time of the loss in seconds since 1970.
        server: Name of the backend server.
    """

    at: float
    server: str


class SuspectId(msgspec.Struct, frozen=True):
    """Identity of a request across repeats.

    Args:
        head: Digest of its idempotency key, or of method, target and key.
        length: Length of the body prefix that the identity covers, in bytes.
        body: Digest of that prefix.
    """

    head: int
    length: int
    body: int

    def __str__(self) -> str:
        """Return the textual form shown to operators."""
        return f'{self.head:x}-{self.length}-{self.body:x}'


class Suspect(msgspec.Struct, frozen=True):
    """A request that was running when backend servers were lost.

    Args:
        id: Its identity.
        description: Method and target, for operators.
        incidents: Losses while it ran, in chronological order.
        cleared_at: When an operator or a response cleared it, in seconds
            since 1970; earlier losses do not count.
    """

    id: SuspectId
    description: str
    incidents: tuple[Incident, ...]
    cleared_at: float = 0

    @property
    def changed_at(self) -> float:
        """Time of its last change, in seconds since 1970."""
        last = self.incidents[-1].at if self.incidents else 0
        return max(self.cleared_at, last)

    @property
    def expires_at(self) -> float:
        """When the entry expires, in seconds since 1970."""
        return self.changed_at + _EXPIRY_SECONDS

    @property
    def is_suspected(self) -> bool:
        """Whether any loss is attributed to it."""
        return bool(self.incidents)

    @property
    def is_quarantined(self) -> bool:
        """Whether it is quarantined and no longer sent."""
        return len(self.incidents) >= _QUARANTINE_LOSSES

    def has_loss_at(self, server: str, since: float) -> bool:
        """Return whether a server was lost after the given time."""
        return any(
            incident.server == server and incident.at > since
            for incident in self.incidents
        )

    def merged(self, other: 'Suspect') -> 'Suspect':
        """Return the union of two entries for the same request."""
        cleared_at = max(self.cleared_at, other.cleared_at)
        incidents = {*self.incidents, *other.incidents}
        return msgspec.structs.replace(
            self,
            incidents=tuple(
                sorted(each for each in incidents if each.at > cleared_at),
            ),
            cleared_at=cleared_at,
        )
