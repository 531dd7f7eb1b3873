"""One message on a peer connection."""

from dataclasses import dataclass

from carobwalk.events import HybridStamp
from carobwalk.peer.frames._body import Body


@dataclass(frozen=True, slots=True)
class Frame:
    """One message on a peer connection.

    Args:
        exchange: Correlation id chosen by the connecting side.
        stamp: Logical time at which the sender queued the frame.
        body: Typed content of the message.
    """

    exchange: int
    stamp: HybridStamp
    body: Body
