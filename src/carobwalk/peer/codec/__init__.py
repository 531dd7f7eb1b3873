"""Cap'n Proto codec of the frames between processes."""

from carobwalk.peer.codec._decode import decode_frame
from carobwalk.peer.codec._encode import encode_frame

__all__ = ('decode_frame', 'encode_frame')
