"""An event as a log line holds it."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from carobwalk.events._hybrid_stamp import HybridStamp


@dataclass(frozen=True, slots=True)
class LoggedEvent:
    """An event with its place and time.

    Args:
        process: Id of the process that logged it.
        stamp: Reading of the hybrid logical clock.
        name: Name of the event.
        fields: Fields of the event as text.
    """

    process: str
    stamp: HybridStamp
    name: str
    fields: Mapping[str, str] = field(default_factory=dict)
