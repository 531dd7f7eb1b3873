"""Bytes that peer connections carried."""

from collections.abc import Iterator
from contextlib import contextmanager

from carobwalk.peer._link import Link


class Traffic:
    """Adds up the bytes of open and closed links."""

    def __init__(self) -> None:
        self._links: set[Link] = set()
        self._closed_sent = 0
        self._closed_received = 0

    @contextmanager
    def track(self, link: Link) -> Iterator[None]:
        """Count a link while it is open, and what it carried afterwards."""
        self._links.add(link)
        try:
            yield
        finally:
            self._retire(link)

    @property
    def sent_bytes(self) -> int:
        """Bytes sent so far."""
        return self._closed_sent + sum(link.sent_bytes for link in self._links)

    @property
    def received_bytes(self) -> int:
        """Bytes received so far."""
        return self._closed_received + sum(
            link.received_bytes for link in self._links
        )

    def _retire(self, link: Link) -> None:
        self._links.discard(link)
        self._closed_sent += link.sent_bytes
        self._closed_received += link.received_bytes
