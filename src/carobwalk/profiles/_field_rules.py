"""Validation rules for the values of profile fields."""

from collections.abc import Callable, Mapping
from typing import Any, TypeAlias

from carobwalk.model import Rank

# Returns a description of the accepted values, ``None`` if the value is valid.
Rule: TypeAlias = Callable[[Any], str | None]

_SUM_TOLERANCE = 1e-9
_MAX_SECONDS = 3600
_MAX_SLOTS = 10_000
_MAX_COUNT = 100_000
_MAX_QUEUE_BYTES = 1_073_741_824
_MAX_SEGMENT_INDEX = 32

_rules_by_field: dict[str, Rule] = {}


class RegisterFieldRule:
    """Decorator that registers a function as the rule of a field.

    Args:
        field: Name of the profile field.
    """

    def __init__(self, field: str) -> None:
        self._field = field

    def __call__(self, rule: Rule) -> Rule:
        """Register the rule and return it unchanged."""
        _rules_by_field[self._field] = rule
        return rule


def rule_of(field: str) -> Rule | None:
    """Return the rule of a field, ``None`` if it has none."""
    return _rules_by_field.get(field)


class NumberRange:
    """Rule that accepts numbers within inclusive bounds.

    Args:
        low: Smallest accepted value.
        high: Largest accepted value.
    """

    def __init__(self, low: float, high: float) -> None:
        self._low = low
        self._high = high

    def __call__(self, value: float) -> str | None:
        """Return a description of the range, ``None`` if the value is in it."""
        if self._low <= value <= self._high:
            return None
        return f'a number from {self._low} to {self._high}'


_rules_by_field.update(
    slots=NumberRange(1, _MAX_SLOTS),
    connections=NumberRange(1, _MAX_COUNT),
    queue_length=NumberRange(1, _MAX_COUNT),
    queue_bytes=NumberRange(1, _MAX_QUEUE_BYTES),
    key_segment=NumberRange(0, _MAX_SEGMENT_INDEX),
    retry_ratio=NumberRange(0, 1),
    drain_seconds=NumberRange(0, _MAX_SECONDS),
)


@RegisterFieldRule('shares')
def _check_shares(shares: Mapping[Rank, float]) -> str | None:
    has_all_ranks = set(shares) == set(Rank)
    in_range = all(0 <= share <= 1 for share in shares.values())
    if (
        has_all_ranks
        and in_range
        and sum(shares.values()) <= 1 + _SUM_TOLERANCE
    ):
        return None
    return 'a share from 0 to 1 for every rank, with a sum of at most 1'


@RegisterFieldRule('time_limits')
def _check_time_limits(limits: Mapping[Rank, float]) -> str | None:
    has_all_ranks = set(limits) == set(Rank)
    if has_all_ranks and all(
        0 < limit <= _MAX_SECONDS for limit in limits.values()
    ):
        return None
    return f'seconds above 0 and up to {_MAX_SECONDS} for every rank'


@RegisterFieldRule('rank_rules')
def _check_rank_rules(rank_rules: tuple[Any, ...]) -> str | None:
    if rank_rules and all(
        rule.path_prefix.startswith('/') for rule in rank_rules
    ):
        return None
    return 'at least one rule, each with a path_prefix that starts with /'
