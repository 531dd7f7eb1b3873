"""Watches and reads of the store by followers."""

import trio
from result import Err, Result

from carobwalk.model import CarobwalkError
from carobwalk.profiles.spread._events import (
    ConfigurationDamaged,
    ConfigurationStoreBehind,
    ConfigurationStoreLost,
)
from carobwalk.profiles.spread._follower_parts import FollowerParts
from carobwalk.profiles.spread._held_configuration import HeldConfiguration
from carobwalk.profiles.spread._peer_exchange import PeerExchange
from carobwalk.profiles.writing._head_store import (
    HEAD_NAME,
    HeldHead,
    decode_head,
)
from carobwalk.store import StoreFailure, Unanswered, Versioned

_SOURCE = 'store'


class StoreWatch:
    """Takes accepted configurations from the store.

    Args:
        parts: Parts of the process.
        held: Configuration that the process holds.
        peer_exchange: Where a new configuration goes.
    """

    def __init__(
        self,
        parts: FollowerParts,
        held: HeldConfiguration,
        peer_exchange: PeerExchange,
    ) -> None:
        self._parts = parts
        self._held = held
        self._exchange = peer_exchange
        self._seen_revision = 0
        self._answers = True

    async def watch(self) -> None:
        """Wait for changes while this process is a watcher."""
        settings = self._parts.settings
        while True:
            if self._parts.is_watcher():
                await self._watch_once()
            else:
                await trio.sleep(self._parts.jitter(settings.retry_seconds))

    async def sweep(self) -> None:
        """Look for changes at a rate that all processes share.

        It finds a change whose writer was lost while there was no watcher.
        The rate per process falls with their number, so that the store sees
        the same rate from any fleet, also after an outage.
        """
        while True:
            processes = len(self._parts.other_peers()) + 1
            rate = self._parts.settings.sweep_rate / processes
            await trio.sleep(self._parts.generator.expovariate(rate))
            await self._take_changes(0)

    async def read(self) -> bool:
        """Read the store once and return whether it answered."""
        return await self._take_changes(0)

    async def _watch_once(self) -> None:
        settings = self._parts.settings
        answered = await self._take_changes(settings.watch_seconds)
        if not answered:
            await trio.sleep(self._parts.jitter(settings.retry_seconds))

    async def _take_changes(self, wait: float) -> bool:
        changes = await self._watch_head(wait)
        if isinstance(changes, Err):
            self._note_loss(changes.err_value)
            return False
        self._answers = True
        for record in changes.ok_value:
            self._take_record(record)
        return True

    async def _watch_head(
        self,
        wait: float,
    ) -> Result[tuple[Versioned, ...], StoreFailure]:
        limit = wait + self._parts.settings.ask_timeout
        with trio.move_on_after(limit):
            return await self._parts.store.watch(
                HEAD_NAME,
                self._seen_revision,
                wait,
            )
        return Err(Unanswered('no answer to a watch in time'))

    def _note_loss(self, failure: StoreFailure) -> None:
        if self._answers:
            self._parts.events.emit(
                ConfigurationStoreLost(self._held.revision, repr(failure)),
            )
        self._answers = False

    def _take_record(self, record: Versioned) -> None:
        self._seen_revision = max(self._seen_revision, record.revision)
        try:
            head = decode_head(record)
        except CarobwalkError as error:
            damage = ConfigurationDamaged(_SOURCE, str(error))
            self._parts.events.emit(damage)
            return
        self._take_head(head)

    def _take_head(self, head: HeldHead) -> None:
        configuration = head.record.configuration
        if configuration.revision < self._held.revision:
            behind = ConfigurationStoreBehind(
                configuration.revision,
                self._held.revision,
            )
            self._parts.events.emit(behind)
        self._exchange.accept(configuration, _SOURCE)
