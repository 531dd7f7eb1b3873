"""Store, backend servers, operator and routers of one run."""

from dataclasses import dataclass, field

from carobwalk.model import ServerId
from soak._ledger import Ledger
from soak._link import LinkState
from soak._operator import Operator
from soak._router import Router
from soak._server import SoakServer
from standins.platform import KeyHolder, KvStore


@dataclass(slots=True)
class Scene:
    """What faults are injected into.

    Args:
        store: The store.
        operator: Writes configurations.
        ledger: What was seen.
    """

    store: KvStore
    operator: Operator
    ledger: Ledger
    servers: list[SoakServer] = field(default_factory=list)
    routers: list[Router] = field(default_factory=list)
    holders_by_id: dict[ServerId, KeyHolder] = field(default_factory=dict)

    def heal(self) -> None:
        """End all faults that have an end."""
        self.store.is_down = False
        self.store.loses_replies = False
        for server in self.servers:
            server.heal()
        for router in self.routers:
            router.link.switch(LinkState.PASSING)
