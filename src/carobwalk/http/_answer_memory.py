"""Bound on the memory that answers in flight use."""

from typing import Final

# Each answer may grow to this part of what the others leave free, so that a
# few large answers do not keep out all others.
_FREE_PART_DIVISOR: Final = 3
# Answers up to this size are not counted; the buffer that a connection
# receives into is larger.
_UNCOUNTED_BYTES: Final = 16_384


class AnswerMemory:
    """Limits the total size of the answers that a process holds.

    Args:
        limit_bytes: Maximum total size of all answers in bytes.
    """

    def __init__(self, limit_bytes: int) -> None:
        self._limit_bytes = limit_bytes
        self._held_bytes = 0

    @property
    def held_bytes(self) -> int:
        """Total size in bytes of the answers that are counted now."""
        return self._held_bytes

    def free_bytes(self, old_bytes: int) -> int:
        """Return the size in bytes that one answer may have now.

        Args:
            old_bytes: Size that is counted for the answer so far, in bytes.
        """
        free_bytes = self._limit_bytes - self._held_bytes + old_bytes
        return free_bytes // _FREE_PART_DIVISOR

    def resize(self, old_bytes: int, new_bytes: int) -> bool:
        """Change the size of one answer and return whether it is allowed.

        Args:
            old_bytes: Size that is counted for the answer so far, in bytes.
            new_bytes: Size that it needs, in bytes.
        """
        if new_bytes > self.free_bytes(old_bytes):
            return False
        self._held_bytes += new_bytes - old_bytes
        return True

    def release(self, old_bytes: int) -> None:
        """Stop counting an answer.

        Args:
            old_bytes: Size that is counted for the answer, in bytes.
        """
        self._held_bytes -= old_bytes


class AnswerShare:
    """Memory of one answer; serves successive answers.

    Args:
        memory: Memory of all answers of the process.
    """

    __slots__ = ('_held_bytes', '_memory')

    def __init__(self, memory: AnswerMemory) -> None:
        self._memory = memory
        self._held_bytes = 0

    def grow_to(self, size_bytes: int) -> bool:
        """Reserve memory and return whether there was enough.

        Args:
            size_bytes: Size of the answer in bytes, as far as it is known.
        """
        if size_bytes <= max(self._held_bytes, _UNCOUNTED_BYTES):
            return True
        if not self._memory.resize(self._held_bytes, size_bytes):
            return False
        self._held_bytes = size_bytes
        return True

    def release(self) -> None:
        """Return the memory; the answer is no longer held."""
        self._memory.release(self._held_bytes)
        self._held_bytes = 0
