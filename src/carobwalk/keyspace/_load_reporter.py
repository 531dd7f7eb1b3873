"""Reports of a process to the coordinator."""

from typing import Final

import msgspec
import trio
from result import Err

from carobwalk.keyspace._key_owner_table import KeyOwnerTable
from carobwalk.keyspace._key_reader import KeyReader
from carobwalk.keyspace._load_report import (
    LOAD_TOPIC,
    LoadReceipt,
    LoadReport,
    ServerAnswers,
    ServerCrash,
    ServiceLoad,
)
from carobwalk.keyspace._local_load import LocalLoad
from carobwalk.peer import Peers

_PAUSE_SECONDS: Final = 0.25
_TIMEOUT_SECONDS: Final = 0.5


class LoadReporter:
    """Tells the coordinator which keys are asked for, and how fast it went.

    Args:
        peers: Sends the reports.
        reader: Knows the coordinator.
        owners: Counts requests by key.
        local: What this process counts, and takes from the coordinator.
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
            await trio.sleep(_PAUSE_SECONDS)
            report = self._take_report()
            coordinator = self._reader.coordinator
            if coordinator is None:
                continue
            answered = await self._peers.ask(
                coordinator,
                LOAD_TOPIC,
                msgspec.msgpack.encode(report),
                _TIMEOUT_SECONDS,
            )
            if isinstance(answered, Err):
                continue  # The next report follows soon; the hub logs losses.
            receipt = msgspec.msgpack.decode(
                answered.ok_value,
                type=LoadReceipt,
            )
            if receipt.is_coordinator:
                self._local.take(receipt)

    def _take_report(self) -> LoadReport:
        work_by_service = self._local.loads.totals.take()
        return LoadReport(
            tuple(
                ServiceLoad(
                    service,
                    tuple(counts.items()),
                    tuple(
                        ServerAnswers(
                            *life,
                            counted.answers,
                            counted.given_up,
                            counted.seconds,
                        )
                        for life, counted in (
                            work_by_service.get(service, {}).items()
                        )
                    ),
                )
                for service, counts in self._owners.take_counts().items()
            ),
            tuple(
                ServerCrash(crash.fingerprint, *crash.incarnation)
                for crash in self._local.suspects.take_crashes()
            ),
        )
