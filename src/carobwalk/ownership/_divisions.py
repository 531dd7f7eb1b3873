"""Divisions of services in the store."""

import msgspec
from result import Err, Ok

from carobwalk.model import ServiceName
from carobwalk.ownership._context import OwnershipContext
from carobwalk.ownership._division import Division
from carobwalk.ownership._host_view import HostView
from carobwalk.ownership._store_names import DIVISIONS, division_record
from carobwalk.store import Conflict, Versioned


class Divisions:
    """Reads the stored divisions and creates missing ones.

    Args:
        context: Dependencies and settings of this process.
        hosts: Last reading of the host list.
    """

    def __init__(self, context: OwnershipContext, hosts: HostView) -> None:
        self._context = context
        self._hosts = hosts

    async def read(self) -> tuple[Division, ...] | None:
        """Return all divisions, ``None`` if the store did not answer."""
        answer = await self._context.store.read_prefix(DIVISIONS)
        if isinstance(answer, Err):
            return None
        return tuple(map(_decode, answer.ok_value))

    async def make(self, service: ServiceName) -> Division | None:
        """Store the division of a service, unless one is stored already.

        Returns:
            The division in the store; ``None`` if the service has no listed
            servers, the host list changed recently, or the write failed.
        """
        groups = self._hosts.groups_of(service)
        if not groups or not self._is_settled():
            return None
        servers = [
            host for host in self._hosts.servers() if host.service == service
        ]
        shard_count = len(servers) * self._context.shards_per_server
        division = Division(service, shard_count, groups)
        answer = await self._context.store.write(
            division_record(service),
            msgspec.json.encode(division),
            0,
        )
        if isinstance(answer, Ok):
            return division
        failure = answer.err_value
        if isinstance(failure, Conflict) and failure.current is not None:
            return _decode(failure.current)
        return None

    def missing(self, known: dict[str, Division]) -> list[ServiceName]:
        """Return the listed keyed services without a known division."""
        found = {host.service for host in self._hosts.servers()}
        return sorted(
            service
            for service in found
            if service is not None
            and service not in known
            and self._context.is_keyed(service)
        )

    def _is_settled(self) -> bool:
        age = self._context.clock.now() - self._hosts.changed_at
        return age >= self._context.times.host_list_settle


def _decode(record: Versioned) -> Division:
    return msgspec.json.decode(record.content, type=Division)
