"""Components of one run."""

from dataclasses import dataclass, field

from carobwalk.model import ServerId
from soak._invariant_checker import InvariantChecker
from soak._link import LinkState
from soak._operator import Operator
from soak._router import Router
from soak._server import SoakServer
from standins.platform import KeyHolder, KvStore


@dataclass(slots=True)
class Testbed:
    """Store, operator, backend servers and routers of a run.

    Args:
        store: Key-value service.
        operator: Writes configurations.
        checker: Checks the guarantees.
        servers: Backend servers.
        routers: Router processes.
        holders_by_id: Keys held by the current incarnation of each keyed
            server.
    """

    store: KvStore
    operator: Operator
    checker: InvariantChecker
    servers: list[SoakServer] = field(default_factory=list)
    routers: list[Router] = field(default_factory=list)
    holders_by_id: dict[ServerId, KeyHolder] = field(default_factory=dict)

    def heal(self) -> None:
        """End all faults that last."""
        self.store.is_down = False
        self.store.loses_replies = False
        for server in self.servers:
            server.heal()
        for router in self.routers:
            router.link.switch(LinkState.PASSING)
