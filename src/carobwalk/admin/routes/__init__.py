"""Routes of the administration; importing them fills the registry."""

from carobwalk.admin.routes import (
    _explain,
    _history,
    _profile_reads,
    _profile_writes,
    _quarantine,
    _services,
    _status,
    _tokens,
)

__all__ = (
    '_explain',
    '_history',
    '_profile_reads',
    '_profile_writes',
    '_quarantine',
    '_services',
    '_status',
    '_tokens',
)
