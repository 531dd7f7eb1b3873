"""Progress of a request on a backend server."""

from enum import StrEnum


class RunState(StrEnum):
    """State of a request that was given a slot."""

    STARTED = 'started'
    REFUSED = 'refused'
    ABORTED = 'aborted'
    COMMITTED = 'committed'
    COMPLETE = 'complete'
