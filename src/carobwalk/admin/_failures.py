"""Failures of administration requests before a write is evaluated."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class BadRequest:
    """The request is malformed.

    Args:
        detail: Description of the error.
    """

    detail: str

    @property
    def way_out(self) -> str:
        """Corrective action for the operator."""
        return 'compare the call with GET /v1/openapi.json'


@dataclass(frozen=True, slots=True)
class Unauthenticated:
    """The request has no valid token.

    Args:
        detail: Whether the token is missing or invalid.
    """

    detail: str

    @property
    def way_out(self) -> str:
        """Corrective action for the operator."""
        return 'send Authorization: Bearer with a token of yours'


@dataclass(frozen=True, slots=True)
class Forbidden:
    """The token lacks a required role.

    Args:
        role: The missing role.
    """

    role: str

    @property
    def detail(self) -> str:
        """Description of the failure."""
        return f'the token lacks the role {self.role}'

    @property
    def way_out(self) -> str:
        """Corrective action for the operator."""
        return f'ask for a token with the role {self.role}'


@dataclass(frozen=True, slots=True)
class TooManyAttempts:
    """The limit of queued token verifications at this process is reached."""

    @property
    def detail(self) -> str:
        """Description of the failure."""
        return 'too many tokens wait to be checked'

    @property
    def way_out(self) -> str:
        """Corrective action for the operator."""
        return 'nothing was changed; repeat the call in a second'


@dataclass(frozen=True, slots=True)
class RevisionRequired:
    """A write has no If-Match header with its base revision."""

    @property
    def detail(self) -> str:
        """Description of the failure."""
        return 'a write names the revision that it is based on'

    @property
    def way_out(self) -> str:
        """Corrective action for the operator."""
        return 'read first, and send If-Match with the ETag of the answer'


@dataclass(frozen=True, slots=True)
class UnknownPath:
    """No route matches the path.

    Args:
        path: Path of the request.
    """

    path: str

    @property
    def detail(self) -> str:
        """Description of the failure."""
        return f'there is nothing at {self.path}'

    @property
    def way_out(self) -> str:
        """Corrective action for the operator."""
        return 'see the paths in GET /v1/openapi.json'


@dataclass(frozen=True, slots=True)
class MethodNotAllowed:
    """The path has no route for the method.

    Args:
        method: HTTP method of the request.
        path: Path of the request.
    """

    method: str
    path: str

    @property
    def detail(self) -> str:
        """Description of the failure."""
        return f'{self.path} does not take {self.method}'

    @property
    def way_out(self) -> str:
        """Corrective action for the operator."""
        return 'see the methods in GET /v1/openapi.json'


@dataclass(frozen=True, slots=True)
class NotQuarantined:
    """The named request is not in quarantine.

    Args:
        identity: Identity that was looked up.
    """

    identity: str

    @property
    def detail(self) -> str:
        """Description of the failure."""
        return f'request {self.identity} is not in quarantine'

    @property
    def way_out(self) -> str:
        """Corrective action for the operator."""
        return 'list the quarantine; the entry may have expired'


@dataclass(frozen=True, slots=True)
class NotReady:
    """The process has started and has no active configuration yet."""

    @property
    def detail(self) -> str:
        """Description of the failure."""
        return 'this process does not know yet what is in force'

    @property
    def way_out(self) -> str:
        """Corrective action for the operator."""
        return 'nothing was changed; ask another entry, or repeat in seconds'
