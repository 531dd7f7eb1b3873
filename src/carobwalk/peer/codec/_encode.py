"""Encoding of frames with pycapnp."""

from carobwalk.peer import frames
from carobwalk.peer.codec import _fill_reply, _fill_request, _fill_single_field  # noqa: F401 registers the fillers
from carobwalk.peer.codec._fillers import fillers_by_type
from carobwalk.peer.codec._schema import schema


def encode_frame(frame: frames.Frame) -> bytes:
    """Return the Cap'n Proto message of a frame, without length prefix."""
    message = schema.Frame.new_message(
        exchange=frame.exchange,
        wall=frame.stamp.wall,
        counter=frame.stamp.counter,
    )
    fillers_by_type[type(frame.body)](message, frame.body)
    return bytes(message.to_bytes())
