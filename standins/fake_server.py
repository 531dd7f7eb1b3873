"""Backend server that holds grants, and the record of what it held."""

from dataclasses import dataclass, field

import trio

from carobwalk.model import Endpoint, FenceToken, ServiceName
from carobwalk.ownership import (
    GrantReport,
    GrantTable,
    SafetyRules,
    ServerOrder,
    ShardId,
)
from standins.fake_clock import FakeClock


@dataclass(frozen=True, slots=True)
class DoubleOwnership:
    """Two servers held one shard at one instant."""

    time: float
    shard_id: ShardId
    servers: tuple[str, str]


@dataclass(frozen=True, slots=True)
class FallenToken:
    """A server got a grant with a token below an earlier one."""

    time: float
    shard_id: ShardId
    server: str
    token: FenceToken
    earlier: FenceToken


@dataclass(slots=True)
class OwnershipRecord:
    """What all servers held; violations of single ownership.

    Holdings begin only when an order is applied, so that a check after each
    order covers every instant.

    Args:
        servers: All servers by name.
        violations: What was found.
        tokens: Highest token seen by shard.
    """

    servers: dict[str, 'FakeServer'] = field(default_factory=dict)
    violations: list[DoubleOwnership | FallenToken] = field(
        default_factory=list,
    )
    tokens: dict[ShardId, FenceToken] = field(default_factory=dict)

    def check(self, server: 'FakeServer', report: GrantReport) -> None:
        """Check what a server holds after an order."""
        for held in report.held:
            self._check_token(server, held.shard_id, held.token)
            for other in self.servers.values():
                if other is not server and other.owns(held.shard_id):
                    pair = (server.endpoint.name, other.endpoint.name)
                    self.violations.append(
                        DoubleOwnership(
                            trio.current_time(),
                            held.shard_id,
                            pair,
                        ),
                    )

    def _check_token(
        self,
        server: 'FakeServer',
        shard_id: ShardId,
        token: FenceToken,
    ) -> None:
        highest = self.tokens.get(shard_id, token)
        # An unlisted grant of an earlier epoch keeps its token to its end.
        known = server.known.get(shard_id) == token
        if token < highest and not known:
            self.violations.append(
                FallenToken(
                    trio.current_time(),
                    shard_id,
                    server.endpoint.name,
                    token,
                    highest,
                ),
            )
        server.known[shard_id] = token
        self.tokens[shard_id] = max(highest, token)


class FakeServer:
    """Backend server with its own clock.

    Args:
        endpoint: Where it is.
        service: Service that it runs.
        record: Record of all servers.
        clock: Its clock.
        rules: Safety rules of the server's side.
    """

    def __init__(
        self,
        endpoint: Endpoint,
        service: ServiceName,
        record: OwnershipRecord,
        clock: FakeClock,
        rules: SafetyRules,
    ) -> None:
        self.endpoint = endpoint
        self.service = service
        self.clock = clock
        self.is_up = True
        self.known: dict[ShardId, FenceToken] = {}
        self._record = record
        self._rules = rules
        self._starts = 0
        self.table = self._new_table()
        record.servers[endpoint.name] = self

    def _new_table(self) -> GrantTable:
        self._starts += 1
        incarnation = f'{self.endpoint.name}#{self._starts}'
        return GrantTable(incarnation, self._rules)

    def crash(self) -> None:
        """Forget everything and stop answering."""
        self.is_up = False

    def restart(self) -> None:
        """Start as a new incarnation."""
        self.known = {}
        self.table = self._new_table()
        self.is_up = True

    def owns(self, shard_id: ShardId) -> bool:
        """Return whether a live grant covers the shard now."""
        return self.is_up and self.table.owns(*shard_id, self.clock.now())

    async def handle(self, order: ServerOrder) -> GrantReport:
        """Apply an order and check single ownership."""
        await trio.lowlevel.checkpoint()
        report = self.table.handle(order, self.clock.now())
        self._record.check(self, report)
        return report
