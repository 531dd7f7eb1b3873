"""Messages on the load of keys and backend servers."""

from typing import Final

import msgspec

from carobwalk.peer import Topic

LOAD_TOPIC: Final = Topic('keyspace.load')


class ServerAnswers(msgspec.Struct, array_like=True):
    """Answers of one backend server to one process.

    Args:
        server: Identity of the server.
        born: Start of its life, in milliseconds since 1970.
        answers: Number of answers.
        given_up: Number of requests that were given up without an answer.
        seconds: Sum of the times that all of them were in flight.
    """

    server: str
    born: int
    answers: int
    given_up: int
    seconds: float


class ServiceLoad(msgspec.Struct, array_like=True):
    """Load of a service as one process saw it since its last report.

    Args:
        service: Name of the service.
        counts: Keys with their numbers of requests.
        servers: Answers of its backend servers.
    """

    service: str
    counts: tuple[tuple[int, int], ...]
    servers: tuple[ServerAnswers, ...]


class ServerCrash(msgspec.Struct, array_like=True, frozen=True):
    """A request that was running when a backend server crashed.

    Args:
        fingerprint: Fingerprint of the request.
        server: Identity of the server.
        born: Start of the life that ended.
    """

    fingerprint: int
    server: str
    born: int


class LoadReport(msgspec.Struct, array_like=True):
    """What a process tells the coordinator.

    Args:
        services: Load by service.
        crashes: What ran on servers that crashed.
    """

    services: tuple[ServiceLoad, ...]
    crashes: tuple[ServerCrash, ...] = ()


class LoadReceipt(msgspec.Struct, array_like=True):
    """What the coordinator answers.

    Args:
        is_coordinator: Whether the process coordinates.
        processes: Processes that reported lately, 0 if not known yet.
        culprits: Fingerprints of requests that crash servers.
    """

    is_coordinator: bool
    processes: int
    culprits: tuple[int, ...] = ()
