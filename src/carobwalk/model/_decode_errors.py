"""Errors of decoding bytes that another program wrote."""

from typing import Final

import msgspec

# A decoder raises RecursionError if values are nested too deeply, even in a
# field that it skips.
DECODE_ERRORS: Final = (
    msgspec.MsgspecError,
    UnicodeDecodeError,
    RecursionError,
)
