"""Frames to bytes, by pycapnp."""

from carobwalk.peer import frames
from carobwalk.peer.codec import _fill_reply, _fill_request, _fill_short  # noqa: F401 they fill the registry
from carobwalk.peer.codec._fillers import fillers_by_type
from carobwalk.peer.codec._schema import schema


def encode_frame(frame: frames.Frame) -> bytes:
    """Return the capnp message of a frame, without its length."""
    message = schema.Frame.new_message(
        exchange=frame.exchange,
        wall=frame.stamp.wall,
        counter=frame.stamp.counter,
    )
    fillers_by_type[type(frame.body)](message, frame.body)
    return bytes(message.to_bytes())
