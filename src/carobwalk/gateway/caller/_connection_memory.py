"""Memory that the requests and responses of one connection use."""

from typing import Final

from carobwalk.http import AnswerMemory, AnswerShare

# Total of a connection up to which nothing is counted; the buffer that it
# receives into is larger.
_UNCOUNTED_BYTES: Final = 16_384


class ConnectionMemory:
    """Part of the process's memory for answers that one connection uses.

    All requests read ahead and all responses held for the caller count
    together, so that a connection gets no more than a single response may.

    Args:
        memory: Memory of all answers of the process.
    """

    __slots__ = ('_counted_bytes', '_memory', '_used_bytes')

    def __init__(self, memory: AnswerMemory) -> None:
        self._memory = memory
        self._used_bytes = 0
        self._counted_bytes = 0

    @property
    def free_bytes(self) -> int:
        """Size in bytes that the connection may still reserve."""
        limit = self._memory.free_bytes(self._counted_bytes)
        return max(limit - self._used_bytes, 0)

    def share(self) -> 'MessageShare':
        """Return the share of a further request or response."""
        return MessageShare(self, self._memory)

    def release(self) -> None:
        """Return all memory; the connection has ended."""
        self._memory.release(self._counted_bytes)
        self._used_bytes = 0
        self._counted_bytes = 0

    def resize(self, old_bytes: int, new_bytes: int) -> bool:
        """Change the size of one message and return whether it is allowed.

        Args:
            old_bytes: Size of the message so far.
            new_bytes: Size that it needs.
        """
        used = self._used_bytes + new_bytes - old_bytes
        counted = used if used > _UNCOUNTED_BYTES else 0
        if counted <= self._counted_bytes:
            self._memory.release(self._counted_bytes - counted)
        elif not self._memory.resize(self._counted_bytes, counted):
            return False
        self._used_bytes = used
        self._counted_bytes = counted
        return True


class MessageShare(AnswerShare):
    """Memory of one request or response of a connection.

    Args:
        connection: Memory of the connection.
        memory: Memory of all answers of the process.

    Attributes:
        asked_bytes: Largest size asked for, granted or not.
    """

    __slots__ = ('_connection', 'asked_bytes')

    def __init__(
        self, connection: ConnectionMemory, memory: AnswerMemory
    ) -> None:
        super().__init__(memory)
        self._connection = connection
        self.asked_bytes = 0

    @property
    def held_bytes(self) -> int:
        """Size in bytes that is reserved."""
        return self._held_bytes

    def grow_to(self, size_bytes: int) -> bool:
        """Reserve memory and return whether there was enough.

        Args:
            size_bytes: Size of the message in bytes, as far as it is known.
        """
        self.asked_bytes = max(self.asked_bytes, size_bytes)
        if size_bytes <= self._held_bytes:
            return True
        if not self._connection.resize(self._held_bytes, size_bytes):
            return False
        self._held_bytes = size_bytes
        return True

    def release(self) -> None:
        """Return the memory; the message is no longer held."""
        self._connection.resize(self._held_bytes, 0)
        self._held_bytes = 0
