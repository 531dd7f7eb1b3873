"""Errors raised when an invariant of dispatch is violated.

Each indicates a programming error.
"""

from carobwalk.model import CarobwalkError


class DoubleSendError(CarobwalkError):
    """A non-idempotent request was about to be sent a second time."""


class SlotLimitError(CarobwalkError):
    """More requests run at a backend server than it has slots for."""


class ConnectionLimitError(CarobwalkError):
    """More connections to a backend server were needed than allowed."""


class FalseNotRunError(CarobwalkError):
    """A request that may have run was about to be reported as not run."""


class UnknownPolicyError(CarobwalkError):
    """A profile names a policy that is not registered."""


class DuplicatePolicyError(CarobwalkError):
    """A policy was registered under a name that is already taken."""
