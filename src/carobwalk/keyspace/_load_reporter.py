"""Periodic load reports of a process to the coordinator."""

from collections.abc import Iterable
from typing import Final

import msgspec
import trio
from result import Err

from carobwalk.gateway import Crash
from carobwalk.keyspace._key_owner_table import KeyOwnerTable
from carobwalk.keyspace._key_reader import KeyReader
from carobwalk.keyspace._load_report import (
    LOAD_TOPIC,
    REPORT_INTERVAL_SECONDS,
    LoadReceipt,
    LoadReport,
    ServerCrash,
    ServiceLoad,
)
from carobwalk.keyspace._local_load import LoadReceiptDropped, LocalLoad
from carobwalk.keyspace._reported_work import ReportedWork
from carobwalk.model import DECODE_ERRORS
from carobwalk.peer import Peers

_TIMEOUT_SECONDS: Final = 0.5


class LoadReporter:
    """Reports request counts, service times and crashes to the coordinator.

    Args:
        peers: Sends the reports.
        reader: Names the current coordinator.
        owners: Source of the request counts by key.
        local: Source of the other figures; receipts are applied to it.
    """

    def __init__(
        self,
        peers: Peers,
        reader: KeyReader,
        owners: KeyOwnerTable,
        local: LocalLoad,
    ) -> None:
        self._peers = peers
        self._reader = reader
        self._owners = owners
        self._local = local

    async def run(self) -> None:
        """Report until cancelled."""
        while True:
            await trio.sleep(REPORT_INTERVAL_SECONDS)
            crashes = self._local.crash_tracker.pop_crashes()
            receipt = await self._send(self._collect_report(crashes))
            if receipt is not None and receipt.is_coordinator:
                self._local.apply(receipt)
            else:
                self._local.crash_tracker.restore_crashes(crashes)

    async def _send(self, report: LoadReport) -> LoadReceipt | None:
        """Send a report; return ``None`` if no process took it."""
        coordinator = self._reader.coordinator
        if coordinator is None:
            return None
        answered = await self._peers.ask(
            coordinator,
            LOAD_TOPIC,
            msgspec.msgpack.encode(report),
            _TIMEOUT_SECONDS,
        )
        if isinstance(answered, Err):
            return None  # The hub logs the failure; the next report is due.
        try:
            return msgspec.msgpack.decode(answered.ok_value, type=LoadReceipt)
        except DECODE_ERRORS as error:
            self._local.events.emit(LoadReceiptDropped(str(error)))
            return None

    def _collect_report(self, crashes: Iterable[Crash]) -> LoadReport:
        work = ReportedWork.pop(self._local)
        counts_by_service = self._owners.pop_counts()
        return LoadReport(
            tuple(
                ServiceLoad(service, tuple(counts.items()), work.rows(service))
                for service, counts in counts_by_service.items()
            ),
            tuple(
                ServerCrash(
                    crash.fingerprint,
                    crash.incarnation.server,
                    crash.incarnation.born,
                )
                for crash in crashes
            ),
            self._local.share.sharers,
            tuple(
                (incarnation.server, incarnation.born)
                for incarnation in self._local.leaving.announced()
            ),
            self._local.loads.demand.pop_all(),
            work.others(counts_by_service),
        )
