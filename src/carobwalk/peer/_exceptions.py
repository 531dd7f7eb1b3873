"""Failures of peer connections."""

from carobwalk.model import CarobwalkError


class FrameError(CarobwalkError):
    """A frame breaks the protocol between processes."""


class PeerLostError(CarobwalkError):
    """A peer connection ended."""
