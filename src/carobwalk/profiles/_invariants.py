"""Checks of what must hold for the configuration."""

from carobwalk.model import CarobwalkError


class InvariantError(CarobwalkError):
    """A rule that the program relies on was broken."""


def require(holds: bool, rule: str) -> None:
    """Check a rule that the program relies on.

    Args:
        holds: Whether the rule holds.
        rule: The rule, in plain English.

    Raises:
        InvariantError: If the rule does not hold.
    """
    if not holds:
        raise InvariantError(rule)
