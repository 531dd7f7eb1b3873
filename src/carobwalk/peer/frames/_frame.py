"""One message on a peer connection."""

from dataclasses import dataclass

from carobwalk.events import HybridStamp
from carobwalk.peer.frames._body import Body


@dataclass(frozen=True, slots=True)
class Frame:
    """One message on a peer connection.

    Args:
        exchange: Correlation id chosen by the side that dialled.
        stamp: Logical time of the sender.
        body: Content.
    """

    exchange: int
    stamp: HybridStamp
    body: Body
