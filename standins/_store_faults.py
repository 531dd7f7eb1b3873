"""Faults of the key-value service that one client observes."""

from dataclasses import dataclass

DEFAULT_TIMEOUT_SECONDS = 5.0


@dataclass(frozen=True, slots=True, kw_only=True)
class StoreFaults:
    """Faults that are injected into a client's calls.

    Args:
        down: Whether calls are refused; pending watches fail.
        delay: Round-trip time of a call, in seconds, split evenly between
            request and reply.
        lost_replies: Number of subsequent writes that take effect but whose
            replies are lost.
        holds_writes: Whether writes are held in transit until the client's
            ``release_held``; their callers time out.
        timeout: Timeout of a call, in seconds.
    """

    down: bool = False
    delay: float = 0
    lost_replies: int = 0
    holds_writes: bool = False
    timeout: float = DEFAULT_TIMEOUT_SECONDS
