"""Simulated backend server, and the check of single ownership."""

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
    """Two servers held the same shard at the same time."""

    time: float
    shard_id: ShardId
    servers: tuple[str, str]


@dataclass(frozen=True, slots=True)
class TokenRegression:
    """A server accepted a grant with a token below an earlier one."""

    time: float
    shard_id: ShardId
    server: str
    token: FenceToken
    earlier: FenceToken


@dataclass(slots=True)
class OwnershipRecord:
    """Checks the grants of all servers for single ownership.

    A server starts to hold a shard only when it applies an order, so checking
    after each order covers all times.

    Args:
        servers: All servers by name.
        violations: Violations found so far.
        tokens: Highest token accepted so far, by shard.
    """

    servers: dict[str, 'FakeServer'] = field(default_factory=dict)
    violations: list[DoubleOwnership | TokenRegression] = field(
        default_factory=list,
    )
    tokens: dict[ShardId, FenceToken] = field(default_factory=dict)

    def check(self, server: 'FakeServer', report: GrantReport) -> None:
        """Check the grants that a server holds after an order."""
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
        # A grant of an earlier epoch that a new order omits keeps its token
        # until it expires.
        is_unchanged = server.last_tokens.get(shard_id) == token
        if token < highest and not is_unchanged:
            self.violations.append(
                TokenRegression(
                    trio.current_time(),
                    shard_id,
                    server.endpoint.name,
                    token,
                    highest,
                ),
            )
        server.last_tokens[shard_id] = token
        self.tokens[shard_id] = max(highest, token)


class FakeServer:
    """Simulated backend server with its own clock.

    Args:
        endpoint: Its name, address, region and data centre.
        service: Service that it belongs to.
        record: Ownership check that all servers share.
        clock: Its local clock.
        rules: Safety rules that its grant table enforces.
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
        self.last_tokens: dict[ShardId, FenceToken] = {}
        self._record = record
        self._rules = rules
        self._start_count = 0
        self.table = self._new_table()
        record.servers[endpoint.name] = self

    def _new_table(self) -> GrantTable:
        self._start_count += 1
        incarnation = f'{self.endpoint.name}#{self._start_count}'
        return GrantTable(incarnation, self._rules)

    def crash(self) -> None:
        """Stop answering; the restart loses all state."""
        self.is_up = False

    def restart(self) -> None:
        """Restart as a new incarnation."""
        self.last_tokens = {}
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
