"""Coordinator's state of one backend server."""

from dataclasses import dataclass, field
from math import inf

import trio

from carobwalk.model import Endpoint, FenceToken, ServerId, ServiceName
from carobwalk.ownership._server_messages import GrantReport, ShardId
from carobwalk.ownership._succession import Holder


@dataclass(slots=True, kw_only=True)
class ServerLink:
    """State of one backend server; times are on the coordinator's clock.

    Args:
        endpoint: Name, address and location of the server.
        service: Service that the server runs.
        incarnation: Incarnation in its last report.
        echo: Time on the server's clock in its last report.
        reported_at: Time of that report.
        sequence: Sequence of the last order; increases across all servers.
        applied: Sequence of the last order that the server applied.
        tokens: Fencing tokens of the grants in its last report.
        fence: Report on the fence order of this epoch; ``None`` if not fenced.
        fenced_at: Time of that report.
        reported_leaving: Whether its last report said that it is shutting down.
        listed_leaving: Whether the host list marks it as leaving.
        autonomous: Whether it agreed to autonomy and no later order ended that.
        wake: Set to send an order without waiting for the interval.
    """

    endpoint: Endpoint
    service: ServiceName
    incarnation: str | None = None
    echo: float = 0
    reported_at: float = -inf
    sequence: int = 0
    applied: int = 0
    tokens: dict[ShardId, FenceToken] = field(default_factory=dict)
    fence: GrantReport | None = None
    fenced_at: float = -inf
    reported_leaving: bool = False
    listed_leaving: bool = False
    autonomous: bool = False
    wake: trio.Event = field(default_factory=trio.Event)
    _expiry_by_incarnation: dict[str, float] = field(default_factory=dict)

    @property
    def server(self) -> ServerId:
        """Return the server's id."""
        return ServerId(self.endpoint.name)

    @property
    def leaving(self) -> bool:
        """Return whether the server is shutting down."""
        return self.reported_leaving or self.listed_leaving

    @property
    def holder(self) -> Holder | None:
        """Return the incarnation that reported last; ``None`` before that."""
        if self.incarnation is None:
            return None
        return Holder(self.server, self.incarnation)

    def apply_report(self, report: GrantReport, epoch: int, now: float) -> None:
        """Update the state from a report.

        Args:
            report: Report of the server on an order.
            epoch: Epoch of that order.
            now: Time on the coordinator's clock, in seconds.
        """
        applied = report.epoch == epoch and report.refusal is None
        self.autonomous = applied and report.autonomous
        self.incarnation = report.incarnation
        self.echo = report.clock
        self.reported_at = now
        self.applied = report.sequence if report.epoch == epoch else 0
        self.reported_leaving = report.leaving
        self.tokens = {held.shard_id: held.token for held in report.held}

    def extend(self, incarnation: str, expires_at: float) -> None:
        """Record that grants of an incarnation may live until a time."""
        known = self._expiry_by_incarnation.get(incarnation, -inf)
        self._expiry_by_incarnation[incarnation] = max(known, expires_at)

    def expiry_of(self, incarnation: str) -> float:
        """Return when all grants of an incarnation have expired."""
        return self._expiry_by_incarnation.get(incarnation, -inf)

    def trigger_order(self) -> None:
        """Send an order without waiting for the interval."""
        self.wake.set()
