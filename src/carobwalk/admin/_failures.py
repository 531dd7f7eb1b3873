"""Why a call to the administration was refused, besides its content."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class BadRequest:
    """The request can't be read."""

    detail: str

    @property
    def way_out(self) -> str:
        """What the operator can do."""
        return 'compare the call with GET /v1/openapi.json'


@dataclass(frozen=True, slots=True)
class Unauthenticated:
    """The request has no valid token."""

    detail: str

    @property
    def way_out(self) -> str:
        """What the operator can do."""
        return 'send Authorization: Bearer with a token of yours'


@dataclass(frozen=True, slots=True)
class Forbidden:
    """The token lacks a role."""

    role: str

    @property
    def detail(self) -> str:
        """What happened."""
        return f'the token lacks the role {self.role}'

    @property
    def way_out(self) -> str:
        """What the operator can do."""
        return f'ask for a token with the role {self.role}'


@dataclass(frozen=True, slots=True)
class TooManyAttempts:
    """Too many tokens wait to be checked at this process."""

    @property
    def detail(self) -> str:
        """What happened."""
        return 'too many tokens wait to be checked'

    @property
    def way_out(self) -> str:
        """What the operator can do."""
        return 'nothing was changed; repeat the call in a second'


@dataclass(frozen=True, slots=True)
class RevisionRequired:
    """A write names no revision that it is based on."""

    @property
    def detail(self) -> str:
        """What happened."""
        return 'a write names the revision that it is based on'

    @property
    def way_out(self) -> str:
        """What the operator can do."""
        return 'read first, and send If-Match with the ETag of the answer'


@dataclass(frozen=True, slots=True)
class UnknownPath:
    """There is nothing at the path."""

    path: str

    @property
    def detail(self) -> str:
        """What happened."""
        return f'there is nothing at {self.path}'

    @property
    def way_out(self) -> str:
        """What the operator can do."""
        return 'see the paths in GET /v1/openapi.json'


@dataclass(frozen=True, slots=True)
class MethodNotAllowed:
    """The path does not take the method."""

    method: str
    path: str

    @property
    def detail(self) -> str:
        """What happened."""
        return f'{self.path} does not take {self.method}'

    @property
    def way_out(self) -> str:
        """What the operator can do."""
        return 'see the methods in GET /v1/openapi.json'


@dataclass(frozen=True, slots=True)
class NotQuarantined:
    """The request is not in quarantine."""

    identity: str

    @property
    def detail(self) -> str:
        """What happened."""
        return f'request {self.identity} is not in quarantine'

    @property
    def way_out(self) -> str:
        """What the operator can do."""
        return 'list the quarantine; the entry may have expired'


@dataclass(frozen=True, slots=True)
class NotReady:
    """The process has just started and does not know what is in force."""

    @property
    def detail(self) -> str:
        """What happened."""
        return 'this process does not know yet what is in force'

    @property
    def way_out(self) -> str:
        """What the operator can do."""
        return 'nothing was changed; ask another entry, or repeat in seconds'
