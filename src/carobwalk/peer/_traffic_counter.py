"""Byte counts of peer connections."""

from collections.abc import Iterator
from contextlib import contextmanager

from carobwalk.peer._link import Link


class TrafficCounter:
    """Sums the bytes of open and closed links."""

    def __init__(self) -> None:
        self._links: set[Link] = set()
        self._closed_sent_bytes = 0
        self._closed_received_bytes = 0

    @contextmanager
    def track(self, link: Link) -> Iterator[None]:
        """Count a link while it is open, and keep its total after it closes."""
        self._links.add(link)
        try:
            yield
        finally:
            self._add_closed(link)

    @property
    def sent_bytes(self) -> int:
        """Bytes sent on all links so far."""
        return self._closed_sent_bytes + sum(
            link.sent_bytes for link in self._links
        )

    @property
    def received_bytes(self) -> int:
        """Bytes received on all links so far."""
        return self._closed_received_bytes + sum(
            link.received_bytes for link in self._links
        )

    def _add_closed(self, link: Link) -> None:
        self._links.discard(link)
        self._closed_sent_bytes += link.sent_bytes
        self._closed_received_bytes += link.received_bytes
