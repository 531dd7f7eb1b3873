"""Composition of a process from its parts."""

from carobwalk.app._serve import serve

__all__ = ('serve',)
