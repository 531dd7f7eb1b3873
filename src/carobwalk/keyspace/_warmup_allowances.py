"""Shares of the requests that cold servers may get, for all processes."""

import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from carobwalk.directory import (
    BackendServer,
    ServerDirectory,
    ServerIncarnation,
)
from carobwalk.keyspace._cold_keys import ColdKeys, cold_keys
from carobwalk.keyspace._key_load import KeyLoad
from carobwalk.keyspace._key_map import KeyMap
from carobwalk.keyspace._load_report import LoadReport
from carobwalk.keyspace._service_demands import ServiceDemands
from carobwalk.model import Clock, ServiceName
from carobwalk.shares import WarmupBounds

# A new coordinator knows too small a demand at first, and shares of the one
# before are used for a second after their receipt.
_FIRST_SHARES_SECONDS: Final = 2.0
_RENEWAL_SECONDS: Final = 0.1
# Part of the stated rate that keys are planned for.
_PLANNED_RATIO: Final = 0.8
# Cold time that is too short for a move of keys to pay off.
_MIN_MOVE_SECONDS: Final = 1.0
# Most requests that a cold server gets in relation to the mean of its service:
# a service with little demand is served by warm servers.
_MAX_MEAN_RATIO: Final = 1.5
_MIN_RATE: Final = 0.1


@dataclass(frozen=True, slots=True, kw_only=True)
class WarmupSource:
    """What is known of cold servers.

    Args:
        directory: Registered backend servers; tells which are cold.
        rate_of: Returns the requests per second that a cold server of a service
            can take, ``None`` without a limit.
        bounds: Bound on the requests in any one second.
    """

    directory: ServerDirectory
    rate_of: Callable[[ServiceName], float | None]
    bounds: WarmupBounds


class WarmupAllowances:
    """Divides what cold servers may get by the demand for them.

    Args:
        clock: Clock of the demand.
        source: What is known of cold servers, ``None`` if they are not
            limited.
    """

    def __init__(
        self, clock: Clock, source: WarmupSource | None = None
    ) -> None:
        self._clock = clock
        self._source = source
        self._demands = ServiceDemands(clock)
        self._keys_by_incarnation: dict[ServerIncarnation, ColdKeys] = {}
        self._keyed_services: set[ServiceName] = set()
        self._is_term_valid: Callable[[], bool] = _is_never_valid
        self._term_started_at = math.inf
        self._rows: tuple[tuple[str, int, float], ...] = ()
        self._rows_at = -math.inf

    def start_term(self, is_valid: Callable[[], bool]) -> None:
        """Forget the demand, which was reported to another coordinator.

        Args:
            is_valid: Returns whether no other process can be coordinator. Two
                coordinators would each divide the whole allowance.
        """
        self._is_term_valid = is_valid
        self._term_started_at = self._clock.now()
        self._demands.clear()
        self._keys_by_incarnation.clear()
        self._keyed_services.clear()
        self._rows_at = -math.inf

    def record(self, report: LoadReport) -> None:
        """Record the demand that a process reports."""
        self._demands.add(report)

    def record_keys(
        self,
        service: ServiceName,
        key_map: KeyMap,
        loads: tuple[KeyLoad, KeyLoad],
    ) -> None:
        """Record the demand for the keys of cold servers.

        Args:
            service: Service of the keys.
            key_map: Owners of all keys.
            loads: Request rates of keys over some seconds and over one.
        """
        self._keyed_services.add(service)
        now = self._clock.now()
        owners = {
            server.incarnation
            for server in self._limited_servers()
            if server.service == service
        }
        current = {
            owner: keys
            for owner, keys in self._keys_by_incarnation.items()
            if keys.is_current(now)
        }
        self._keys_by_incarnation = current
        if owners:
            current.update(cold_keys(owners, key_map, loads, now))

    def rows(self) -> tuple[tuple[str, int, float], ...]:
        """Return id, start and share of each cold server.

        It is empty while this process doesn't know the demand or may not be
        the only coordinator.
        """
        now = self._clock.now()
        if now - self._term_started_at < _FIRST_SHARES_SECONDS:
            return ()
        if not self._is_term_valid():
            return ()
        if now - self._rows_at >= _RENEWAL_SECONDS:
            self._rows_at = now
            shares = (
                (server, self._share(server))
                for server in self._limited_servers()
            )
            self._rows = tuple(
                (server.id, server.born, share)
                for server, share in shares
                if share is not None
            )
        return self._rows

    def capacity(self, server: BackendServer, capacity: float) -> float:
        """Return the requests per second that keys are planned for.

        Args:
            server: The server.
            capacity: Its capacity when it is warm.
        """
        left = self._seconds_left(server.incarnation)
        if left <= _MIN_MOVE_SECONDS or self._source is None:
            return capacity
        rate = self._source.rate_of(server.service)
        if rate is None:
            return capacity
        return min(capacity, max(rate * _PLANNED_RATIO, _MIN_RATE))

    def is_soon_warm(self, server: ServerIncarnation) -> bool:
        """Return whether a cold server will be warm before keys can move."""
        if not 0 < self._seconds_left(server) <= _MIN_MOVE_SECONDS:
            return False
        return any(
            limited.incarnation == server for limited in self._limited_servers()
        )

    def _seconds_left(self, server: ServerIncarnation) -> float:
        if self._source is None:
            return 0
        return self._source.directory.cold.seconds_left(server)

    def _limited_servers(self) -> list[BackendServer]:
        source = self._source
        if source is None:
            return []
        return [
            server
            for server in source.directory.cold.all_cold()
            if source.rate_of(server.service) is not None
        ]

    def _share(self, server: BackendServer) -> float | None:
        """Return the share of the requests that a cold server may get."""
        assert self._source is not None
        rate = self._source.rate_of(server.service) or 0
        allowance = self._source.bounds.allowance(rate)
        service = server.service
        unkeyed = self._demands.unkeyed(service)
        if service not in self._keyed_services:
            servers = len(self._source.directory.of_service(service))
            share = allowance / max(unkeyed, _MIN_RATE)
            return min(share, _MAX_MEAN_RATIO / max(servers, 1), 1)
        keys = self._keys_by_incarnation.get(server.incarnation)
        if keys is None or not keys.is_current(self._clock.now()):
            return None
        demand = keys.demand(self._demands.keyed(service)) + unkeyed
        return min(allowance / max(demand, _MIN_RATE), 1)


def _is_never_valid() -> bool:
    return False
