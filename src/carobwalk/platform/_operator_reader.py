"""Readers of the operator's records, which share a prefix."""

from carobwalk.store import Listing, RecordReader, Removed, Versioned


class OperatorReader:
    """Passes the operator's records on to several readers, in order.

    It implements ``RecordReader``. Each of them ignores the records of the
    others.

    Args:
        readers: Readers of different kinds of records.
    """

    def __init__(self, *readers: RecordReader) -> None:
        self._readers = readers

    def load(self, listing: Listing, *, after_outage: bool) -> None:
        """Pass a listing on."""
        for reader in self._readers:
            reader.load(listing, after_outage=after_outage)

    def apply(self, change: Versioned | Removed) -> None:
        """Pass a change on."""
        for reader in self._readers:
            reader.apply(change)
