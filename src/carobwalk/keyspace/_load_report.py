"""Messages that report the load of keys and backend servers."""

from typing import Final

import msgspec

from carobwalk.peer import Topic

LOAD_TOPIC: Final = Topic('keyspace.load')
REPORT_INTERVAL_SECONDS: Final = 0.25


class ServerAnswers(msgspec.Struct, array_like=True):
    """Work of one backend server for one process since its last report.

    Args:
        server: Identity of the server.
        born: Start of its incarnation, in milliseconds since 1970.
        answers: Number of answered requests.
        given_up: Number of requests abandoned without an answer.
        seconds: Total time in flight of all these requests.
        limit: Requests per second that the server accepts from all processes,
            by its last answer; ``None`` without a limit.
        in_flight: Mean number of requests in flight since the last report.
        running: Number of requests in flight at the time of the report.
    """

    server: str
    born: int
    answers: int
    given_up: int
    seconds: float
    limit: float | None = None
    in_flight: float = 0
    running: int = 0


class ServiceLoad(msgspec.Struct, array_like=True):
    """Load of a service at one process since its last report.

    Args:
        service: Name of the service.
        counts: Pairs of a key and its number of requests.
        servers: Work of the service's backend servers.
    """

    service: str
    counts: tuple[tuple[int, int], ...]
    servers: tuple[ServerAnswers, ...]


class ServerCrash(msgspec.Struct, array_like=True, frozen=True):
    """A request that was running when a backend server crashed.

    Args:
        fingerprint: Fingerprint of the request.
        server: Identity of the server.
        born: Start of the crashed incarnation, in milliseconds since 1970.
    """

    fingerprint: int
    server: str
    born: int


class LoadReport(msgspec.Struct, array_like=True):
    """Periodic report of a process to the coordinator.

    Args:
        services: Load of each service.
        crashes: Requests that were running when servers crashed.
        sharers: Number of processes among which this one shares limits, 0 if
            it has no share.
        leaving: Servers that told this process that they shut down, each with
            the start of its incarnation in milliseconds since 1970.
        demands: Services, each with the number of requests that callers asked
            for since the last report.
        others: Load of services without a request for a key.
    """

    services: tuple[ServiceLoad, ...]
    crashes: tuple[ServerCrash, ...] = ()
    sharers: int = 0
    leaving: tuple[tuple[str, int], ...] = ()
    demands: tuple[tuple[str, int], ...] = ()
    others: tuple[ServiceLoad, ...] = ()


class LoadReceipt(msgspec.Struct, array_like=True):
    """Answer to a load report.

    Args:
        is_coordinator: Whether the answering process is the coordinator; if
            not, the rest of the receipt is ignored.
        processes: Number of processes that reported recently, 0 if not known
            yet.
        culprits: Fingerprints of requests that repeatedly crashed servers.
        sharers: Number of processes that may have a share of the limits on all
            of them together, 0 if not known yet.
        overloads: Owners of keys that are asked for much more than they can
            do: id, start of the incarnation in milliseconds since 1970, and
            the share of the requests that it can run.
        warming: Cold servers: id, start of the incarnation in milliseconds
            since 1970, and the share of the requests that it may get.
        phase: Time on the coordinator's clock, by which processes admit
            requests to these owners in turns; 0 if it isn't told.
        digest: Load of the servers of services without keys, empty if this
            receipt carries none.
    """

    is_coordinator: bool
    processes: int
    culprits: tuple[int, ...] = ()
    sharers: int = 0
    overloads: tuple[tuple[str, int, float], ...] = ()
    warming: tuple[tuple[str, int, float], ...] = ()
    phase: float = 0
    digest: bytes = b''
