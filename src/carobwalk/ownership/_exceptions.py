"""Broken invariants of ownership."""

from carobwalk.model import CarobwalkError


class OwnershipInvariantError(CarobwalkError):
    """An invariant of ownership was broken inside this process."""


class TokenFellError(OwnershipInvariantError):
    """A fence token was lower than an earlier one of the same shard."""


class MapRevisionFellError(OwnershipInvariantError):
    """A shard map was older than the one that it was to replace."""


class TwoDispatchersError(OwnershipInvariantError):
    """A server was to get a second dispatcher within one epoch."""


class RecordTooLargeError(OwnershipInvariantError):
    """A group's record passed the size that the store takes."""
