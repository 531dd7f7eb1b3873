"""A request during which backend servers were lost."""

import msgspec

_CONVICTING_LOSSES = 2
_EXPIRY_SECONDS = 600


class Incident(msgspec.Struct, frozen=True, order=True):
    """Loss of a backend server while a request ran.

    Args:
        at: Seconds since 1970.
        server: Name of the backend server.
    """

    at: float
    server: str


class SuspectId(msgspec.Struct, frozen=True):
    """Identity of a request across its repeats.

    Args:
        head: Digest of its idempotency key, or of method, target and key.
        length: Bytes of its body that the identity covers.
        body: Digest of these bytes.
    """

    head: int
    length: int
    body: int

    def __str__(self) -> str:
        """Return the form that operators use."""
        return f'{self.head:x}-{self.length}-{self.body:x}'


class Suspect(msgspec.Struct, frozen=True):
    """What is known against a request.

    Args:
        id: Its identity.
        description: Method and target, for operators.
        incidents: Losses while it ran, in order.
        cleared_at: When an operator or an answer cleared it, in seconds
            since 1970; losses before that do not count.
    """

    id: SuspectId
    description: str
    incidents: tuple[Incident, ...]
    cleared_at: float = 0

    @property
    def changed_at(self) -> float:
        """Return when it last changed, in seconds since 1970."""
        last = self.incidents[-1].at if self.incidents else 0
        return max(self.cleared_at, last)

    @property
    def expires_at(self) -> float:
        """Return when it is forgotten, in seconds since 1970."""
        return self.changed_at + _EXPIRY_SECONDS

    @property
    def is_suspected(self) -> bool:
        """Whether a loss counts against it."""
        return bool(self.incidents)

    @property
    def is_convicted(self) -> bool:
        """Whether it may not be sent any more."""
        return len(self.incidents) >= _CONVICTING_LOSSES

    def was_at(self, server: str, since: float) -> bool:
        """Return whether a loss of a server counts since a time."""
        return any(
            incident.server == server and incident.at > since
            for incident in self.incidents
        )

    def merged(self, other: 'Suspect') -> 'Suspect':
        """Return what both know together."""
        cleared_at = max(self.cleared_at, other.cleared_at)
        incidents = {*self.incidents, *other.incidents}
        return msgspec.structs.replace(
            self,
            incidents=tuple(
                sorted(each for each in incidents if each.at > cleared_at),
            ),
            cleared_at=cleared_at,
        )
