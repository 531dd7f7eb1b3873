"""A router for servers that own keys exclusively."""

from carobwalk._version import VERSION

__all__ = ('VERSION',)
