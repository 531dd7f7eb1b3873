"""Faults of the key-value service as one client sees them."""

from dataclasses import dataclass

DEFAULT_TIMEOUT_SECONDS = 5.0


@dataclass(frozen=True, slots=True, kw_only=True)
class StoreFaults:
    """Faults that are in force for a client's calls.

    Args:
        down: Whether calls are refused; waiting watches break off.
        delay: Round-trip time of a call, in seconds; half each way.
        lost_replies: Number of writes from now on that take effect but whose
            replies do not come back.
        holds_writes: Whether writes are kept on the way until the client's
            ``release_held``; their callers get no answer.
        timeout: Longest time that a call waits for its reply, in seconds.
    """

    down: bool = False
    delay: float = 0
    lost_replies: int = 0
    holds_writes: bool = False
    timeout: float = DEFAULT_TIMEOUT_SECONDS
