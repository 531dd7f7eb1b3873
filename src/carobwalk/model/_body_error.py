"""Exceptions for connections that are closed during a request."""

from carobwalk.model._exceptions import CarobwalkError


class BodyError(CarobwalkError):
    """The sender disconnected before the whole body was received."""


class CallerGoneError(CarobwalkError):
    """The caller closed its connection before the response was complete."""
