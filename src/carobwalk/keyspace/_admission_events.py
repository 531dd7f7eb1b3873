"""Log events of the admission of requests to overloaded owners of keys."""

from dataclasses import dataclass

from carobwalk.events import Event


@dataclass(frozen=True, slots=True)
class AdmissionBegan(Event):
    """This process admits only a share of the requests for an owner's keys.

    Args:
        server: Id of the overloaded backend server.
        share: Share that the coordinator has told.
    """

    server: str
    share: float


@dataclass(frozen=True, slots=True)
class AdmissionEnded(Event):
    """This process admits all requests for an owner's keys again.

    Args:
        server: Id of the backend server.
    """

    server: str
