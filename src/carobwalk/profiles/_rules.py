"""Rules that the values of fields keep."""

from collections.abc import Callable, Mapping
from typing import Any, TypeAlias

from carobwalk.model import Rank

# Returns what would be accepted, or nothing if the value is accepted.
Rule: TypeAlias = Callable[[Any], str | None]

_ROUNDING = 1e-9
_MAX_SECONDS = 3600
_MAX_SLOTS = 10_000
_MAX_LENGTH = 100_000
_MAX_QUEUE_BYTES = 1_073_741_824
_MAX_SEGMENT = 32

_rules_by_field: dict[str, Rule] = {}


class RuleFor:
    """Decorator that makes a function the rule of a field."""

    def __init__(self, field: str) -> None:
        self._field = field

    def __call__(self, rule: Rule) -> Rule:
        """Register the rule."""
        _rules_by_field[self._field] = rule
        return rule


def rule_of(field: str) -> Rule | None:
    """Return the rule of a field, if it has one."""
    return _rules_by_field.get(field)


class Between:
    """Rule of a number with bounds."""

    def __init__(self, low: float, high: float) -> None:
        self._low = low
        self._high = high

    def __call__(self, value: float) -> str | None:
        """Return what would be accepted, or nothing."""
        if self._low <= value <= self._high:
            return None
        return f'a number from {self._low} to {self._high}'


_rules_by_field.update(
    slots=Between(1, _MAX_SLOTS),
    connections=Between(1, _MAX_LENGTH),
    queue_length=Between(1, _MAX_LENGTH),
    queue_bytes=Between(1, _MAX_QUEUE_BYTES),
    key_segment=Between(0, _MAX_SEGMENT),
    retry_ratio=Between(0, 1),
    drain_seconds=Between(0, _MAX_SECONDS),
)


@RuleFor('shares')
def _check_shares(shares: Mapping[Rank, float]) -> str | None:
    complete = set(shares) == set(Rank)
    within = all(0 <= share <= 1 for share in shares.values())
    if complete and within and sum(shares.values()) <= 1 + _ROUNDING:
        return None
    return 'a share from 0 to 1 for every rank, with a sum of at most 1'


@RuleFor('time_limits')
def _check_time_limits(limits: Mapping[Rank, float]) -> str | None:
    complete = set(limits) == set(Rank)
    if complete and all(0 < limit <= _MAX_SECONDS for limit in limits.values()):
        return None
    return f'seconds above 0 and up to {_MAX_SECONDS} for every rank'


@RuleFor('rank_rules')
def _check_rank_rules(rank_rules: tuple[Any, ...]) -> str | None:
    if rank_rules and all(
        rule.path_prefix.startswith('/') for rule in rank_rules
    ):
        return None
    return 'at least one rule, each with a path_prefix that starts with /'
