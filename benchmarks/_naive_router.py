"""Baseline: rendezvous hashing over the host list, without leases."""

from dataclasses import dataclass, field
from typing import Final

import trio
import xxhash

from carobwalk.store import HostList

READ_INTERVAL_SECONDS: Final = 0.5


@dataclass(slots=True)
class NaiveRouter:
    """Routing of one entry by rendezvous hashing.

    Args:
        host_list: The platform's list of hosts.
        phase: Delay before the first read, in seconds.
        servers: Servers that the last read returned.
    """

    host_list: HostList
    phase: float
    servers: tuple[str, ...] = field(default=())

    async def run(self) -> None:
        """Poll the host list until cancelled."""
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
        """Return the server with the highest score for a shard, if any."""
        if not self.servers:
            return None
        return max(
            self.servers, key=lambda server: rendezvous_score(shard, server)
        )


def rendezvous_score(shard: str, server: str) -> int:
    """Return the rendezvous score of a server for a shard."""
    return xxhash.xxh64_intdigest(f'{shard}/{server}'.encode())
