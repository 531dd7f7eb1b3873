"""Settings of the stand-in backend server."""

from dataclasses import dataclass

from carobwalk.model import ServerId, ServiceName


@dataclass(frozen=True, slots=True, kw_only=True)
class BackendSettings:
    """How a stand-in backend server behaves.

    Args:
        server: Name of the server.
        service: Service that it serves.
        slots: Requests that run at once.
        backlog: Requests that wait for a slot; more are shed.
        connections: Connections that are kept open; more are closed at once.
        checks_grants: Whether requests without an admitted grant are refused.
        cold_seconds: Time after the start in which requests take longer.
        cold_factor: Ratio of the first request's time to a warm one's.
        report_lag: Age of what ``/health`` and ``/load`` tell, in seconds.
        reports_idle: Whether these say healthy and idle whatever is true.
        faulty: Whether requests may ask for faults by ``?fault=``.
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
