"""Transfer of a range of keys to its new owner."""

from collections.abc import Callable
from typing import Final

import trio
from result import Err, Ok

from carobwalk.directory import ServerIncarnation
from carobwalk.keyspace._key_range import KeyRange
from carobwalk.keyspace._order_sender import OrderDependencies, OrderSender
from carobwalk.keyspace._orders import OrderFailure, OrderRefused
from carobwalk.keyspace._revocation import KeysRevoked, RevocationCause
from carobwalk.model import Clock

_REFUSED_RETRY_SECONDS: Final = 1.0


class Activation:
    """Revokes a range of keys from its previous owners and grants it anew.

    Args:
        key_range: Range as recorded in the store, with its new owner.
        order_sender: Sends the releases and the grant.
        dependencies: Shared components and timing settings.
        clock: Clock that keeps running while the host is suspended.
        is_needed: Returns whether the assignment is still in force; the
            transfer stops when it is not.
    """

    def __init__(
        self,
        key_range: KeyRange,
        order_sender: OrderSender,
        dependencies: OrderDependencies,
        clock: Clock,
        is_needed: Callable[[], bool],
    ) -> None:
        self.key_range = key_range
        self.is_refused = False
        self.handover = ''
        self._is_superseded = False
        self._order_sender = order_sender
        self._dependencies = dependencies
        self._clock = clock
        self._is_needed = is_needed

    async def run(self) -> bool:
        """Run the transfer and return whether the owner accepted its grant."""
        async with trio.open_nursery() as nursery:
            for incarnation in self.key_range.previous:
                nursery.start_soon(self._revoke, incarnation)
        retry = self._dependencies.times.retry
        while self._may_go_on():
            answered = await self._order_sender.grant(
                self.key_range,
                self.handover,
                self._may_go_on,
            )
            if isinstance(answered, Ok):
                return True
            if isinstance(answered.err_value, OrderRefused):
                self.is_refused = True
                return False
            await trio.sleep(retry)
        return False

    async def _revoke(self, incarnation: ServerIncarnation) -> None:
        """Wait until an incarnation is certain to hold none of the keys.

        Stop when the assignment is superseded, because the keys may have been
        granted to the incarnation anew.
        """
        cause = self._cause_of_revocation(incarnation)
        while cause is None:
            if not self._may_go_on():
                return
            cause = await self._release(incarnation)
        self._log_revocation(incarnation, cause)

    def _may_go_on(self) -> bool:
        """Whether the assignment has been in force at each check so far."""
        self._is_superseded = self._is_superseded or not self._is_needed()
        return not self._is_superseded

    async def _release(
        self, incarnation: ServerIncarnation
    ) -> RevocationCause | None:
        """Release the keys; return ``None`` if the incarnation may hold any."""
        ledger = self._order_sender.ledger
        reports = ledger.report_count
        released = await self._order_sender.release(
            self.key_range, incarnation, self._may_go_on
        )
        if isinstance(released, Err):
            delay = self._retry_delay(released.err_value)
            left = max(self._seconds_held(incarnation), 0)
            await trio.sleep(min(delay, left))
            return self._cause_of_revocation(incarnation)
        self.handover = released.ok_value or self.handover
        cause = await self._wait_until_revoked(incarnation)
        # The predecessor's last grants may have arrived after the release, and
        # have been answered before it reported.
        if cause is RevocationCause.RELEASED and reports != ledger.report_count:
            return None
        return cause

    def _retry_delay(self, failure: OrderFailure) -> float:
        """Return the delay before the next release attempt in seconds."""
        if isinstance(failure, OrderRefused):
            return _REFUSED_RETRY_SECONDS  # A retry would be refused as well.
        return self._dependencies.times.retry

    async def _wait_until_revoked(
        self, incarnation: ServerIncarnation
    ) -> RevocationCause:
        """Wait until no unanswered grant can undo an answered release."""
        ledger = self._order_sender.ledger
        keys = self.key_range.bounds
        free_at = ledger.free_after_release(incarnation, keys)
        while self._clock.now() < free_at:
            cause = self._cause_of_revocation(incarnation)
            if cause is not None:
                return cause
            await trio.sleep(self._dependencies.times.tick)
            # A predecessor may have reported tighter bounds meanwhile.
            free_at = min(free_at, ledger.free_after_release(incarnation, keys))
        return RevocationCause.RELEASED

    def _cause_of_revocation(
        self, incarnation: ServerIncarnation
    ) -> RevocationCause | None:
        """Return why an incarnation holds no key, ``None`` if it may hold."""
        has_ended = self._dependencies.failure_detector.has_ended(incarnation)
        # A new process at the address may accept an order in flight.
        if has_ended and not self._order_sender.is_sending_to(incarnation):
            return RevocationCause.PROCESS_ENDED
        if self._seconds_held(incarnation) <= 0:
            return RevocationCause.EXPIRED
        return None

    def _seconds_held(self, incarnation: ServerIncarnation) -> float:
        """Return the seconds for which an incarnation may hold the keys."""
        end = self._order_sender.ledger.holds_until(
            incarnation, self.key_range.bounds
        )
        return end - self._clock.now()

    def _log_revocation(
        self, incarnation: ServerIncarnation, cause: RevocationCause
    ) -> None:
        self._dependencies.events.emit(
            KeysRevoked(
                server=incarnation.server,
                born=incarnation.born,
                first=self.key_range.first,
                last=self.key_range.last,
                fence=self.key_range.fence,
                cause=cause,
                expires_in=round(self._seconds_held(incarnation), 3),
            ),
        )
