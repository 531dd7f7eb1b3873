"""What a process counts for the coordinator, and takes from it."""

from dataclasses import dataclass
from typing import ClassVar

from carobwalk.events import Event, EventLog
from carobwalk.gateway import CrashTracker, LoadTable, RetryBudgets
from carobwalk.keyspace._load_report import LoadReceipt


@dataclass(frozen=True, slots=True)
class RequestQuarantined(Event):
    """A request that crashes backend servers is refused from now on.

    Args:
        fingerprint: What it has in common with its repeats.
    """

    level: ClassVar[str] = 'warning'

    fingerprint: int


@dataclass(frozen=True, slots=True, kw_only=True)
class LocalLoad:
    """Parts of a process that the coordinator's answers concern.

    Args:
        loads: Counts answers by server.
        budgets: Bounds on repeats.
        suspects: Requests that crash servers.
        events: Log of events.
    """

    loads: LoadTable
    budgets: RetryBudgets
    suspects: CrashTracker
    events: EventLog

    def take(self, receipt: LoadReceipt) -> None:
        """Follow what the coordinator answered to a report."""
        if receipt.processes:
            self.loads.process_count = receipt.processes
            self.budgets.process_count = receipt.processes
        for fingerprint in self.suspects.quarantine(receipt.culprits):
            self.events.emit(RequestQuarantined(fingerprint))
