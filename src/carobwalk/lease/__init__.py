"""Terms of a process in a role that a lease in the store holds."""

from carobwalk.lease._acquisition import acquire_term
from carobwalk.lease._lease_renewal import renew_lease
from carobwalk.lease._lease_times import LeaseTimes
from carobwalk.lease._term import Term
from carobwalk.lease._term_events import TermEnded, TermInDoubt

__all__ = (
    'LeaseTimes',
    'Term',
    'TermEnded',
    'TermInDoubt',
    'acquire_term',
    'renew_lease',
)
