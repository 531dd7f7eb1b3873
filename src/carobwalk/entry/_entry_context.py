"""Dependencies shared by all callers' connections."""

from collections.abc import Callable
from dataclasses import dataclass

from carobwalk.entry._classifier import Classifier
from carobwalk.entry._entry_limits import EntryLimits
from carobwalk.entry._request_observer import RequestObserver
from carobwalk.entry._router import Router


@dataclass(frozen=True, slots=True)
class EntryContext:
    """Dependencies shared by all callers' connections.

    Args:
        classifier: Determines the service, key and rank of a request.
        router: Forwards classified requests.
        observer: Is notified of each finished request.
        limits: Size limits and timeouts.
        is_stopping: Returns whether new requests are refused.
    """

    classifier: Classifier
    router: Router
    observer: RequestObserver
    limits: EntryLimits
    is_stopping: Callable[[], bool]
