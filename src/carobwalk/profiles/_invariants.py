"""Runtime checks of invariants of the configuration."""

from carobwalk.model import CarobwalkError


class InvariantError(CarobwalkError):
    """An invariant of the configuration was violated."""


def require(holds: bool, rule: str) -> None:
    """Check an invariant.

    Args:
        holds: Result of evaluating the invariant.
        rule: Statement of the invariant, used as the error message.

    Raises:
        InvariantError: If the invariant does not hold.
    """
    if not holds:
        raise InvariantError(rule)
