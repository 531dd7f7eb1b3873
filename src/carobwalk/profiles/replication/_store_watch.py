"""Watch of the configuration in the store."""

import trio
from result import Err, Result

from carobwalk.model import CarobwalkError
from carobwalk.profiles.replication._events import (
    ConfigurationDamaged,
    ConfigurationStoreBehind,
    ConfigurationStoreLost,
)
from carobwalk.profiles.replication._follower_parts import FollowerParts
from carobwalk.profiles.replication._local_configuration import (
    LocalConfiguration,
)
from carobwalk.profiles.replication._peer_exchange import PeerExchange
from carobwalk.profiles.writing._head_store import (
    HEAD_NAME,
    StoredHead,
    decode_head,
)
from carobwalk.store import StoreFailure, Unanswered, Versioned

_STORE_SOURCE = 'store'


class StoreWatch:
    """Reads accepted configurations from the store and applies them.

    Args:
        parts: Dependencies and settings.
        local: Local copy of the configuration.
        peer_exchange: Applies new configurations.
    """

    def __init__(
        self,
        parts: FollowerParts,
        local: LocalConfiguration,
        peer_exchange: PeerExchange,
    ) -> None:
        self._parts = parts
        self._local = local
        self._exchange = peer_exchange
        self._last_store_revision = 0
        self._store_answers = True

    async def watch(self) -> None:
        """Watch the store while this process is a watcher."""
        while True:
            if self._parts.is_watcher():
                await self._watch_once()
            else:
                await self._parts.pause()

    async def sweep(self) -> None:
        """Poll the store at a rate that all processes share.

        Polling detects a change whose writing process failed while there was
        no watcher. The rate per process is inversely proportional to the
        number of processes, so that the load on the store is independent of
        the size of the fleet, also after an outage.
        """
        while True:
            processes = len(self._parts.other_peers()) + 1
            rate = self._parts.settings.sweep_rate / processes
            await trio.sleep(self._parts.generator.expovariate(rate))
            await self._apply_changes(0)

    async def read(self) -> bool:
        """Poll the store once and return whether it answered."""
        return await self._apply_changes(0)

    async def _watch_once(self) -> None:
        wait = self._parts.settings.watch_seconds
        if not await self._apply_changes(wait):
            await self._parts.pause()

    async def _apply_changes(self, wait: float) -> bool:
        changes = await self._watch_head(wait)
        if isinstance(changes, Err):
            self._report_store_lost(changes.err_value)
            return False
        self._store_answers = True
        for record in changes.ok_value:
            self._apply_record(record)
        return True

    async def _watch_head(
        self,
        wait: float,
    ) -> Result[tuple[Versioned, ...], StoreFailure]:
        limit = wait + self._parts.settings.ask_timeout
        with trio.move_on_after(limit):
            return await self._parts.store.watch(
                HEAD_NAME,
                self._last_store_revision,
                wait,
            )
        return Err(Unanswered('no answer to a watch in time'))

    def _report_store_lost(self, failure: StoreFailure) -> None:
        if self._store_answers:
            self._parts.events.emit(
                ConfigurationStoreLost(self._local.revision, repr(failure)),
            )
        self._store_answers = False

    def _apply_record(self, record: Versioned) -> None:
        self._last_store_revision = max(
            self._last_store_revision, record.revision
        )
        try:
            head = decode_head(record)
        except CarobwalkError as error:
            damage = ConfigurationDamaged(_STORE_SOURCE, str(error))
            self._parts.events.emit(damage)
            return
        self._apply_head(head)

    def _apply_head(self, head: StoredHead) -> None:
        configuration = head.record.configuration
        if configuration.revision < self._local.revision:
            behind = ConfigurationStoreBehind(
                configuration.revision,
                self._local.revision,
            )
            self._parts.events.emit(behind)
        self._exchange.apply(configuration, _STORE_SOURCE)
