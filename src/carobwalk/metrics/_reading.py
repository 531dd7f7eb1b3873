"""One value of a gauge."""

from collections.abc import Mapping
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Reading:
    """A value with the labels that tell it from others of its gauge."""

    value: float
    labels: Mapping[str, str] = field(default_factory=dict)
