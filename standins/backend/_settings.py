"""Settings of the stand-in backend server."""

from dataclasses import dataclass

from carobwalk.model import ServerId, ServiceName


@dataclass(frozen=True, slots=True, kw_only=True)
class BackendSettings:
    """Behaviour of a stand-in backend server.

    Args:
        server: Name of the server.
        service: Service that it belongs to.
        slots: Concurrency limit.
        backlog: Requests that may wait for a slot; more are shed.
        connections: Connection limit; further connections are closed at once.
        checks_grants: Whether requests without an admitted grant are refused.
        cold_seconds: Warm-up time after the start, in seconds, during which
            requests take longer.
        cold_factor: Ratio of the service time at the start to that after the
            warm-up.
        report_lag: Age of the reports of ``/health`` and ``/load``, in seconds.
        reports_idle: Whether these always report healthy and idle.
        faulty: Whether requests may trigger faults by ``?fault=``.
        log_path: File that the run records are appended to; empty for none.
    """

    server: ServerId
    service: ServiceName
    slots: int = 4
    backlog: int = 4
    connections: int = 130
    checks_grants: bool = True
    cold_seconds: float = 0
    cold_factor: float = 5
    report_lag: float = 0
    reports_idle: bool = False
    faulty: bool = False
    log_path: str = ''
