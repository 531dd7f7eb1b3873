"""Decoding of frames with pycapnp."""

from typing import Final

import capnp

from carobwalk.events import HybridStamp
from carobwalk.peer import frames
from carobwalk.peer._exceptions import FrameError
from carobwalk.peer.codec import _read_reply, _read_request, _read_single_field  # noqa: F401 registers the readers
from carobwalk.peer.codec._readers import readers_by_field
from carobwalk.peer.codec._schema import schema

_READ_LIMIT_WORDS: Final = 1_048_576


def decode_frame(encoded: bytes) -> frames.Frame:
    """Decode a frame.

    Args:
        encoded: Cap'n Proto message without its length prefix.

    Raises:
        FrameError: If the bytes are not a valid frame.
    """
    try:
        return _read_frame(encoded)
    except (capnp.KjException, ValueError, KeyError) as error:
        raise FrameError(f'malformed frame: {error}') from error


def _read_frame(encoded: bytes) -> frames.Frame:
    with schema.Frame.from_bytes(
        encoded,
        traversal_limit_in_words=_READ_LIMIT_WORDS,
    ) as message:
        field = message.which()
        body = readers_by_field[field](getattr(message, field))
        stamp = HybridStamp(message.wall, message.counter)
        return frames.Frame(message.exchange, stamp, body)
