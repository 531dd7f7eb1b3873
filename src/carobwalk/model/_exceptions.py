"""Base class of the exceptions that this package raises."""


class CarobwalkError(Exception):
    """Base class of every exception of this package."""
