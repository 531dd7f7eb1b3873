"""Exceptions of peer connections."""

from carobwalk.model import CarobwalkError


class FrameError(CarobwalkError):
    """A frame violates the protocol between processes."""


class PeerLostError(CarobwalkError):
    """A peer connection was lost or closed."""
