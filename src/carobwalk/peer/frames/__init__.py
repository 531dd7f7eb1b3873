"""Frames between processes as dataclasses."""

from carobwalk.peer.frames._answer import Answer
from carobwalk.peer.frames._ask import Ask
from carobwalk.peer.frames._ask_failed import AskFailed
from carobwalk.peer.frames._body import Body
from carobwalk.peer.frames._body_broken import BodyBroken
from carobwalk.peer.frames._body_end import BodyEnd
from carobwalk.peer.frames._cancel import Cancel
from carobwalk.peer.frames._chunk import Chunk
from carobwalk.peer.frames._completed import Completed
from carobwalk.peer.frames._credit import Credit
from carobwalk.peer.frames._failed import Failed
from carobwalk.peer.frames._frame import Frame
from carobwalk.peer.frames._hello import Hello
from carobwalk.peer.frames._open_request import OpenRequest
from carobwalk.peer.frames._reply_head import ReplyHead

__all__ = (
    'Answer',
    'Ask',
    'AskFailed',
    'Body',
    'BodyBroken',
    'BodyEnd',
    'Cancel',
    'Chunk',
    'Completed',
    'Credit',
    'Failed',
    'Frame',
    'Hello',
    'OpenRequest',
    'ReplyHead',
)
