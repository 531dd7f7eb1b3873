"""How far a request got."""


class CallProgress:
    """Record of whether a request may have reached a backend server.

    It outlives the cancellation of the task that runs the request.
    """

    __slots__ = ('is_sent',)

    def __init__(self) -> None:
        self.is_sent = False

    def note(self, *, is_sent: bool) -> None:
        """Note whether a byte may have reached a server that ran it."""
        self.is_sent = is_sent
