"""Progress of a request towards its backend server."""


class CallProgress:
    """Record of whether a request may have reached a backend server.

    It stays readable after the task that runs the request was cancelled.
    """

    __slots__ = ('is_sent',)

    def __init__(self) -> None:
        self.is_sent = False

    def record(self, *, is_sent: bool) -> None:
        """Record whether a backend server may have received and run it."""
        self.is_sent = is_sent
