"""What became of a request that was sent to a backend server."""

from dataclasses import dataclass

from carobwalk.gateway._reply import Reply


@dataclass(frozen=True, slots=True)
class Answered:
    """The backend server answered completely."""

    reply: Reply


@dataclass(frozen=True, slots=True)
class NotSent:
    """No byte of the request reached the backend server."""

    detail: str
    is_refused: bool = False


@dataclass(frozen=True, slots=True)
class NotRun:
    """The backend server says that it did not run the request."""

    status: int

    @property
    def detail(self) -> str:
        """Description for logs."""
        return f'not run, status {self.status}'


@dataclass(frozen=True, slots=True)
class Lost:
    """The request was sent, and no usable answer came; it may have run."""

    detail: str


AttemptOutcome = Answered | NotSent | NotRun | Lost
