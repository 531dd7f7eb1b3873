"""Naive baseline: rendezvous hashing over the host list, without leases."""

from dataclasses import dataclass, field
from typing import Final

import trio
import xxhash

from carobwalk.store import HostList

READ_INTERVAL_SECONDS: Final = 0.5


@dataclass(slots=True)
class NaiveRouter:
    """Routing of one entry.

    Args:
        host_list: The platform's list of hosts.
        phase: Pause before the first reading, in seconds.
        servers: Servers that the last reading listed.
    """

    host_list: HostList
    phase: float
    servers: tuple[str, ...] = field(default=())

    async def run(self) -> None:
        """Read the list again and again."""
        await trio.sleep(self.phase)
        while True:
            hosts = (await self.host_list.read()).unwrap()
            self.servers = tuple(
                host.endpoint.name
                for host in hosts
                if host.service is not None and not host.leaving
            )
            await trio.sleep(READ_INTERVAL_SECONDS)

    def owner(self, shard: str) -> str | None:
        """Return the server that takes the shard's requests."""
        if not self.servers:
            return None
        return max(self.servers, key=lambda server: score(shard, server))


def score(shard: str, server: str) -> int:
    """Return the rendezvous score of a server for a shard."""
    return xxhash.xxh64_intdigest(f'{shard}/{server}'.encode())
