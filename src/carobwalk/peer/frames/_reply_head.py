"""Status and header fields of a response."""

from dataclasses import dataclass

from carobwalk.model import Headers


@dataclass(frozen=True, slots=True)
class ReplyHead:
    """Status and header fields of a response."""

    status: int
    headers: Headers
