"""What all callers' connections share."""

from collections.abc import Callable
from dataclasses import dataclass

from carobwalk.entry._classify import Classifier
from carobwalk.entry._entry_limits import EntryLimits
from carobwalk.entry._observer import RequestObserver
from carobwalk.entry._router import Router


@dataclass(frozen=True, slots=True)
class CallerService:
    """What all callers' connections share.

    Args:
        classifier: Gives requests their service, key and rank.
        router: Runs requests.
        observer: Takes note of ended requests.
        limits: Bounds on what a caller can take up.
        is_stopping: Tells whether the process takes no new work.
    """

    classifier: Classifier
    router: Router
    observer: RequestObserver
    limits: EntryLimits
    is_stopping: Callable[[], bool]
