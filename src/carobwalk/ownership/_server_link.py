"""What a coordinator knows of one backend server."""

from dataclasses import dataclass, field
from math import inf

import trio

from carobwalk.model import Endpoint, FenceToken, ServerId, ServiceName
from carobwalk.ownership._server_messages import GrantReport, ShardId
from carobwalk.ownership._succession import Holder


@dataclass(slots=True, kw_only=True)
class ServerLink:
    """State of one backend server; readings are of the coordinator's clock.

    Args:
        endpoint: Where the server is.
        service: Service that it runs.
        incarnation: Incarnation in its last report.
        echo: Reading of the server's clock in its last report.
        reported_at: When that report came.
        sequence: Sequence of the last order, rising over all servers.
        applied: Sequence in the last report.
        tokens: Tokens that it held in its last report.
        fence: Report on the fence of this epoch.
        fenced_at: When that report came.
        says_leaving: Whether its last report said that it leaves.
        listed_leaving: Whether the host list says that it leaves.
        autonomous: Whether it agreed to autonomy, and no order since ended it.
        wake: Set to send an order at once.
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
    says_leaving: bool = False
    listed_leaving: bool = False
    autonomous: bool = False
    wake: trio.Event = field(default_factory=trio.Event)
    _lapse_by_incarnation: dict[str, float] = field(default_factory=dict)

    @property
    def server(self) -> ServerId:
        """Return the server's identity."""
        return ServerId(self.endpoint.name)

    @property
    def leaving(self) -> bool:
        """Return whether the server is about to stop."""
        return self.says_leaving or self.listed_leaving

    @property
    def holder(self) -> Holder | None:
        """Return the incarnation that reported last."""
        if self.incarnation is None:
            return None
        return Holder(self.server, self.incarnation)

    def note(self, report: GrantReport, epoch: int, now: float) -> None:
        """Keep a report that came in answer to an order of an epoch."""
        applied = report.epoch == epoch and report.refusal is None
        self.autonomous = applied and report.autonomous
        self.incarnation = report.incarnation
        self.echo = report.clock
        self.reported_at = now
        self.applied = report.sequence if report.epoch == epoch else 0
        self.says_leaving = report.leaving
        self.tokens = {held.shard_id: held.token for held in report.held}

    def extend(self, incarnation: str, until: float) -> None:
        """Note that grants of an incarnation may run until a reading."""
        known = self._lapse_by_incarnation.get(incarnation, -inf)
        self._lapse_by_incarnation[incarnation] = max(known, until)

    def lapse_of(self, incarnation: str) -> float:
        """Return when all grants of an incarnation are over."""
        return self._lapse_by_incarnation.get(incarnation, -inf)

    def rouse(self) -> None:
        """Send an order at once."""
        self.wake.set()
