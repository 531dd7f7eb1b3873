"""Violations of ownership invariants inside this process."""

from carobwalk.model import CarobwalkError


class OwnershipInvariantError(CarobwalkError):
    """An invariant of ownership was violated inside this process."""


class TokenFellError(OwnershipInvariantError):
    """A fencing token was lower than an earlier one of the same shard."""


class MapRevisionFellError(OwnershipInvariantError):
    """A shard map was older than the one that it should replace."""


class TwoDispatchersError(OwnershipInvariantError):
    """A server would have got a second dispatcher within one epoch."""


class RecordTooLargeError(OwnershipInvariantError):
    """A group's record exceeded the size limit of the store."""
