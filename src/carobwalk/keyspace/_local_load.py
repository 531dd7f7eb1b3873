"""Local counters reported to the coordinator, and limits received from it."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import ClassVar

from carobwalk.directory import LeavingServers, ServerIncarnation
from carobwalk.events import Event, EventLog
from carobwalk.gateway import CrashTracker, LoadTable
from carobwalk.keyspace._admission_events import AdmissionBegan, AdmissionEnded
from carobwalk.keyspace._load_report import LoadReceipt
from carobwalk.model import ServerId
from carobwalk.shares import ProcessShare


@dataclass(frozen=True, slots=True)
class RequestQuarantined(Event):
    """A request that repeatedly crashed backend servers was quarantined.

    Args:
        fingerprint: Fingerprint that the request shares with its retries.
    """

    level: ClassVar[str] = 'warning'

    fingerprint: int


@dataclass(frozen=True, slots=True)
class ShareChanged(Event):
    """The share of this process in limits on all processes changed.

    Args:
        before: Number of processes that shared the limits, 0 if this process
            had no share.
        sharers: Number of processes that share them now.
    """

    before: int
    sharers: int


@dataclass(frozen=True, slots=True)
class LoadDigestDropped(Event):
    """A digest of the load of servers could not be decoded; it is ignored.

    Args:
        size: Length of the digest in bytes.
    """

    level: ClassVar[str] = 'warning'

    size: int


@dataclass(frozen=True, slots=True)
class LoadReceiptDropped(Event):
    """The receipt of a load report could not be decoded; it is ignored.

    Args:
        detail: Description of the error.
    """

    level: ClassVar[str] = 'warning'

    detail: str


@dataclass(frozen=True, slots=True, kw_only=True)
class LocalLoad:
    """Components that feed load reports and are updated by their receipts.

    Args:
        loads: Load by backend server.
        share: Share of this process in limits on all processes together.
        leaving: Servers that shut down.
        crash_tracker: Records crashes, and quarantines their culprits.
        events: Event log.
        is_shared: Whether the load of all services is reported, and digests of
            it are used.
    """

    loads: LoadTable
    share: ProcessShare
    leaving: LeavingServers
    crash_tracker: CrashTracker
    events: EventLog
    is_shared: bool = False

    def apply(self, receipt: LoadReceipt) -> None:
        """Apply the coordinator's receipt of a report."""
        if receipt.processes:
            self.loads.process_count = receipt.processes
        self._renew_share(receipt.sharers)
        self._replace_admitted(receipt)
        self.loads.warmups.replace(_by_incarnation(receipt.warming))
        self._apply_digest(receipt.digest)
        for fingerprint in self.crash_tracker.quarantine(receipt.culprits):
            self.events.emit(RequestQuarantined(fingerprint))

    def _replace_admitted(self, receipt: LoadReceipt) -> None:
        shares = _by_incarnation(receipt.overloads)
        admission = self.loads.admission
        before = admission.overloaded
        admission.replace(shares, receipt.phase)
        for begun in admission.overloaded - before:
            share = round(shares[begun], 3)
            self.events.emit(AdmissionBegan(begun.server, share))
        for ended in before - admission.overloaded:
            self.events.emit(AdmissionEnded(ended.server))

    def _apply_digest(self, digest: bytes) -> None:
        if not self.is_shared or not digest:
            return
        if not self.loads.shared.apply(digest):
            self.events.emit(LoadDigestDropped(len(digest)))

    def _renew_share(self, sharers: int) -> None:
        before = self.share.sharers
        self.share.renew(sharers)
        if self.share.sharers != before:
            self.events.emit(ShareChanged(before, self.share.sharers))


def _by_incarnation(
    rows: Iterable[tuple[str, int, float]],
) -> dict[ServerIncarnation, float]:
    return {
        ServerIncarnation(ServerId(server), born): share
        for server, born, share in rows
    }
