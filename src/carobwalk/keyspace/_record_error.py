"""A record that can't be read."""

import msgspec


class RecordError(msgspec.Struct, frozen=True):
    """A record that can't be read.

    Args:
        detail: What is wrong with it.
    """

    detail: str
