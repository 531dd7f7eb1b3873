"""Components of one run."""

import json
from dataclasses import dataclass, field

from carobwalk.keyspace import COORDINATOR_NAME
from carobwalk.model import ServerId
from soak._event_file import EventFile
from soak._freeze_watch import FreezeWatch
from soak._invariant_checker import InvariantChecker
from soak._link import LinkState
from soak._load_pattern import LoadPattern
from soak._notice_check import NoticeCheck
from soak._observed_servers import CHECKED_KEYS
from soak._operator import Operator
from soak._ownership_monitor import OwnershipMonitor
from soak._router import Router
from soak._server import SoakServer
from soak._store_gate import AddressBook
from standins.platform import KeyHolder, KvStore


@dataclass(slots=True)
class Testbed:
    """Store, operator, backend servers and routers of a run.

    Args:
        store: Key-value service.
        operator: Writes configurations.
        checker: Checks the guarantees.
        event_file: Log of faults and orders.
        pattern: Keys that callers ask for.
        address_book: Addresses of servers by router.
        servers: Backend servers.
        routers: Router processes.
        holders_by_id: Keys held by the current incarnation of each keyed
            server.
        monitor: Checks that no key has two owners.
        freeze_watch: Records the freezes of this process.
        notice_check: Checks that routers obey servers' notices.
    """

    store: KvStore
    operator: Operator
    checker: InvariantChecker
    event_file: EventFile
    pattern: LoadPattern = field(default_factory=LoadPattern)
    address_book: AddressBook = field(default_factory=AddressBook)
    servers: list[SoakServer] = field(default_factory=list)
    routers: list[Router] = field(default_factory=list)
    holders_by_id: dict[ServerId, KeyHolder] = field(default_factory=dict)

    monitor: OwnershipMonitor = field(init=False)
    freeze_watch: FreezeWatch = field(init=False)
    notice_check: NoticeCheck = field(init=False)

    def __post_init__(self) -> None:
        """Create the monitor of the servers and that of this process."""
        self.freeze_watch = FreezeWatch(self.event_file)
        self.monitor = OwnershipMonitor(
            self.holders_by_id, CHECKED_KEYS, self.checker
        )
        self.notice_check = NoticeCheck(self.checker, self._disturbed_at)

    @property
    def keyed_servers(self) -> list[SoakServer]:
        """Backend servers whose keys have owners."""
        return [server for server in self.servers if server.holds_keys]

    def coordinator(self) -> Router | None:
        """Return the router that the store names as coordinator, if any."""
        record = self.store.records.get(COORDINATOR_NAME)
        if record is None:
            return None
        name = json.loads(record.content)['process']
        return next(
            (router for router in self.routers if router.name == name), None
        )

    def _disturbed_at(self, name: str) -> float:
        """Return when a router was last restarted or resumed."""
        return max(
            max(router.times.started_at, router.resumed_at)
            for router in self.routers
            if router.name == name
        )

    def heal(self) -> None:
        """End all faults that last."""
        self.store.is_down = False
        self.store.loses_replies = False
        for server in self.servers:
            server.heal()
        for router in self.routers:
            router.link.switch(LinkState.PASSING)
            router.gate.refusal = None
