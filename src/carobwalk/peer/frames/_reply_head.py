"""Status and header fields of an answer."""

from dataclasses import dataclass

from carobwalk.model import Headers


@dataclass(frozen=True, slots=True)
class ReplyHead:
    """Status and header fields of an answer."""

    status: int
    headers: Headers
