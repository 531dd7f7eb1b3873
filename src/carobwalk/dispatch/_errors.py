"""Violated invariants of dispatch; each is a programming error."""

from carobwalk.model import CarobwalkError


class DoubleSendError(CarobwalkError):
    """A non-idempotent request was about to be sent a second time."""


class SlotLimitError(CarobwalkError):
    """More requests run at a backend server than it has slots."""


class ConnectionLimitError(CarobwalkError):
    """More connections to a backend server are open than it takes."""


class FalseNotRunError(CarobwalkError):
    """A request was about to be called not run after a byte was sent."""


class UnknownPolicyError(CarobwalkError):
    """A profile names a policy that no registry holds."""


class DuplicatePolicyError(CarobwalkError):
    """Two policies have the same name in one registry."""
