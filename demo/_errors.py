"""Ways in which a step ends without success."""

from carobwalk.model import CarobwalkError


class MissingError(CarobwalkError):
    """The product can't do yet what the step shows."""


class StepFailedError(CarobwalkError):
    """The product did not do what the step shows."""
