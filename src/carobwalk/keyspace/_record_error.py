"""Error of decoding a record."""

import msgspec


class RecordError(msgspec.Struct, frozen=True):
    """A record that could not be decoded.

    Args:
        detail: Description of the decoding error.
    """

    detail: str
