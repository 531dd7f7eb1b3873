"""Routes of the administration API, registered when they are imported."""

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
