"""How far a request got."""


class CallProgress:
    """Record of whether a request may have reached a backend server.

    It outlives the cancellation of the task that runs the request.
    """

    __slots__ = ('is_sent',)

    def __init__(self) -> None:
        self.is_sent = False

    def mark_sent(self) -> None:
        """Note that the first byte is about to be written to a server."""
        self.is_sent = True
