"""Errors that a step of the demo raises."""

from carobwalk.model import CarobwalkError


class MissingError(CarobwalkError):
    """The product does not yet implement what the step shows."""


class StepFailedError(CarobwalkError):
    """The product did not behave as the step expects."""
