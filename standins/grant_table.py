"""Grants of the stand-in backend server."""

from carobwalk.ownership import GrantTable

__all__ = ('GrantTable',)
