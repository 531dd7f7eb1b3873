"""An event as recorded in a log line."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from carobwalk.events._hybrid_stamp import HybridStamp


@dataclass(frozen=True, slots=True)
class LoggedEvent:
    """An event with the process that logged it and its logical time.

    Args:
        process: Id of the process that logged it.
        stamp: Timestamp of the hybrid logical clock.
        name: Name of the event.
        fields: Values of the event's fields as text, by name.
    """

    process: str
    stamp: HybridStamp
    name: str
    fields: Mapping[str, str] = field(default_factory=dict)
