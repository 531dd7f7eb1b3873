"""Periodic renewal of the grants of backend servers."""

import trio
from result import Ok

from carobwalk.directory import ServerIncarnation
from carobwalk.keyspace._coordinator_map import CoordinatorMap
from carobwalk.keyspace._key_range import KeyRange
from carobwalk.keyspace._order_sender import OrderDependencies, OrderSender
from carobwalk.lease import Term


class GrantRenewer:
    """Renews the grants of every incarnation that owns keys.

    Args:
        coordinator_map: Key map with its accepted grants.
        order_sender: Sends the grants.
        dependencies: Shared components and timing settings.
        term: Term during which orders may be sent.
    """

    def __init__(
        self,
        coordinator_map: CoordinatorMap,
        order_sender: OrderSender,
        dependencies: OrderDependencies,
        term: Term,
    ) -> None:
        self._term = term
        self._renew_now = trio.Event()
        self._map = coordinator_map
        self._order_sender = order_sender
        self._dependencies = dependencies
        self._renewing: set[ServerIncarnation] = set()

    def start(self, nursery: trio.Nursery) -> None:
        """Start a renewal task for each new owner."""
        owners = {key_range.owner for key_range in self._map.written}
        for incarnation in owners - self._renewing:
            self._renewing.add(incarnation)
            nursery.start_soon(self._renew, incarnation)

    async def renew_when_in_doubt(self) -> None:
        """Renew all grants at once when the term becomes in doubt.

        Grants of the longest duration have to be sent before the lease may
        expire, so that owners outlive an outage of the store.
        """
        was_in_doubt = False
        while True:
            await trio.sleep(self._dependencies.times.tick)
            is_in_doubt = self._term.is_in_doubt
            if is_in_doubt and not was_in_doubt:
                self._renew_now.set()
                self._renew_now = trio.Event()
            was_in_doubt = is_in_doubt

    async def _renew(self, incarnation: ServerIncarnation) -> None:
        times = self._dependencies.times
        while any(
            key_range.owner == incarnation for key_range in self._map.written
        ):
            was_in_doubt = self._term.is_in_doubt
            is_answered = True
            if self._dependencies.failure_detector.is_usable(incarnation):
                is_answered = await self._renew_once(incarnation)
            if self._term.is_in_doubt and not was_in_doubt:
                # The grants just sent are short, and the lease may expire
                # before the next renewal: send long ones at once.
                continue
            pause = times.renewal if is_answered else times.retry
            with trio.move_on_after(pause):
                await self._renew_now.wait()
        self._renewing.discard(incarnation)

    async def _renew_once(self, incarnation: ServerIncarnation) -> bool:
        """Renew all grants of an incarnation; return whether all succeeded."""
        is_answered = True
        for key_range in self._map.granted_to(incarnation):
            renewed = await self._renew_range(key_range)
            is_answered = is_answered and renewed
        return is_answered

    async def _renew_range(self, key_range: KeyRange) -> bool:
        renewed = await self._order_sender.grant(
            key_range,
            '',
            lambda: self._map.is_granted(key_range),
        )
        return isinstance(renewed, Ok)
