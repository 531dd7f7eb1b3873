"""Ids of the requests that one connection has carried."""

from typing import Final

# Each id takes about 100 bytes as a hash.
_MAX_IDS: Final = 512


class CarriedIds:
    """Ids of the requests that one connection to a server has carried.

    The server may repeat an answer at any later time, and answers are matched
    to requests by id, so a connection must not carry an id twice.
    """

    def __init__(self) -> None:
        # An equal hash of another id only costs a new connection.
        self._hashes: set[int] = set()

    @property
    def is_full(self) -> bool:
        """Whether no further id can be recorded."""
        return len(self._hashes) >= _MAX_IDS

    def may_add(self, request_id: bytes) -> bool:
        """Return whether the connection may carry a request.

        Args:
            request_id: Id of the request. If it is empty, the answer can't be
                matched, so the connection must not have carried any other.
        """
        if not request_id:
            return not self._hashes
        return hash(request_id) not in self._hashes

    def add(self, request_id: bytes) -> None:
        """Record a request that the connection carries.

        Args:
            request_id: Id of the request, empty for none.
        """
        self._hashes.add(hash(request_id))
