"""Grant table of the stand-in backend server: the product's own class."""

from carobwalk.ownership import GrantTable

__all__ = ('GrantTable',)
