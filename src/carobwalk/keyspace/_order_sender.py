"""Sending of grants and releases, with bounds on their possible effects."""

from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

import trio
from result import Err, Result

from carobwalk.directory import ServerIncarnation
from carobwalk.events import EventLog
from carobwalk.keyspace._events import OrderFailed
from carobwalk.keyspace._failure_detector import FailureDetector
from carobwalk.keyspace._grant_ledger import GrantLedger
from carobwalk.keyspace._key_range import KeyRange
from carobwalk.keyspace._orders import (
    Grant,
    OrderChannel,
    OrderFailure,
    OrderMisdirected,
    OrderUnanswered,
    OrderUnsent,
    Release,
)
from carobwalk.keyspace._sent_grants import SentGrant
from carobwalk.keyspace._server_incarnations import ServerIncarnations
from carobwalk.keyspace._times import KeyTimes
from carobwalk.lease import Term

_DRAIN_POLL_SECONDS: Final = 0.01


@dataclass(frozen=True, slots=True, kw_only=True)
class OrderDependencies:
    """Components for sending orders to backend servers.

    Args:
        channel: Transport for the orders.
        incarnations: Looks up servers by incarnation.
        failure_detector: Records whether servers answer orders.
        times: Timing settings of key ownership.
        events: Event log.
    """

    channel: OrderChannel
    incarnations: ServerIncarnations
    failure_detector: FailureDetector
    times: KeyTimes
    events: EventLog


class OrderSender:
    """Sends orders during one term, one at a time to each server.

    Orders are serialised because a grant in flight while its keys are
    released could arrive after the release.

    Args:
        dependencies: Components for sending orders.
        term: Term during which orders may be sent.
        ledger: Tracks how long sent grants may be in force.
    """

    def __init__(
        self,
        dependencies: OrderDependencies,
        term: Term,
        ledger: GrantLedger,
    ) -> None:
        self._dependencies = dependencies
        self._term = term
        self.ledger = ledger
        self._is_closed = False
        self._grants_in_flight = 0
        self._locks_by_incarnation: dict[ServerIncarnation, trio.Lock] = (
            defaultdict(
                trio.Lock,
            )
        )

    async def grant(
        self,
        key_range: KeyRange,
        handover: str,
        is_needed: Callable[[], bool],
    ) -> Result[None, OrderFailure]:
        """Grant a range of keys to its owner, or renew the grant.

        Args:
            key_range: Range to grant; the order is sent to its owner.
            handover: State that the previous owner passed on, empty for none.
            is_needed: Returns whether the grant is still needed; called just
                before it is sent.
        """
        incarnation = key_range.owner
        server = self._dependencies.incarnations.server(incarnation)
        if server is None:
            return Err(
                OrderUnsent('server is not registered', is_refused=False)
            )
        async with self._locks_by_incarnation[incarnation]:
            if not self._may_send() or not is_needed():
                return Err(OrderUnsent('no longer needed', is_refused=False))
            if self._dependencies.incarnations.is_replaced(incarnation):
                return Err(OrderUnsent('restarted since', is_refused=False))
            hold = self._hold_seconds()
            sent_grant = self.ledger.record_send(key_range, hold)
            order = Grant(
                first=key_range.first,
                last=key_range.last,
                fence=key_range.fence,
                hold=hold,
                handover=handover,
                may_send=self._may_send,
            )
            answered: Result[None, OrderFailure] = Err(
                OrderUnanswered('cancelled')
            )
            self._grants_in_flight += 1
            try:
                answered = await self._dependencies.channel.grant(server, order)
            finally:
                self._grants_in_flight -= 1
                self._record_outcome(sent_grant, answered)
            if isinstance(answered, Err):
                self._record_failure(
                    'grant', key_range, incarnation, answered.err_value
                )
                return answered
        self._dependencies.failure_detector.record_answer(incarnation)
        return answered

    async def release(
        self,
        key_range: KeyRange,
        incarnation: ServerIncarnation,
        is_needed: Callable[[], bool],
    ) -> Result[str, OrderFailure]:
        """Order an incarnation to release a range of keys.

        If its server has restarted, the order goes to the latest incarnation,
        which may have accepted grants meant for the earlier one.

        Args:
            key_range: Range with its new owner and fencing token.
            incarnation: Incarnation that may hold the keys.
            is_needed: Returns whether the release is still needed; called just
                before it is sent.

        Returns:
            State for the new owner, empty for none.
        """
        server = self._dependencies.incarnations.latest(incarnation)
        if server is None:
            return Err(
                OrderUnsent('server is not registered', is_refused=False)
            )
        async with self._locks_by_incarnation[incarnation]:
            if not self._may_send() or not is_needed():
                return Err(OrderUnsent('no longer needed', is_refused=False))
            order = Release(
                first=key_range.first,
                last=key_range.last,
                fence=key_range.fence,
                may_send=self._may_send,
            )
            released = await self._dependencies.channel.release(server, order)
        if isinstance(released, Err):
            self._record_failure(
                'release', key_range, incarnation, released.err_value
            )
        else:
            self._dependencies.failure_detector.record_answer(incarnation)
        return released

    def is_sending_to(self, incarnation: ServerIncarnation) -> bool:
        """Whether an order to an incarnation is in flight."""
        return self._locks_by_incarnation[incarnation].locked()

    async def close(self) -> None:
        """Send no further orders, and wait for the grants in flight.

        Afterwards the ledger's bounds do not grow any more.
        """
        self._is_closed = True
        with trio.move_on_after(self._dependencies.times.order_timeout):
            while self._grants_in_flight:
                await trio.sleep(_DRAIN_POLL_SECONDS)

    def _may_send(self) -> bool:
        return self._term.is_valid and not self._is_closed

    def _hold_seconds(self) -> float:
        times = self._dependencies.times
        return times.longest_hold if self._term.is_in_doubt else times.hold

    def _record_outcome(
        self,
        sent_grant: SentGrant,
        answered: Result[None, OrderFailure],
    ) -> None:
        failure = answered.err_value if isinstance(answered, Err) else None
        if isinstance(failure, OrderUnanswered):
            self.ledger.record_no_answer(sent_grant)
        elif isinstance(failure, OrderUnsent | OrderMisdirected):
            self.ledger.retract(sent_grant)
        else:
            self.ledger.record_answer(sent_grant)

    def _record_failure(
        self,
        order: str,
        key_range: KeyRange,
        incarnation: ServerIncarnation,
        failure: OrderFailure,
    ) -> None:
        failure_detector = self._dependencies.failure_detector
        if isinstance(failure, OrderUnanswered):
            failure_detector.record_no_answer(incarnation)
        elif isinstance(failure, OrderUnsent):
            failure_detector.record_no_answer(
                incarnation, is_refused=failure.is_refused
            )
        elif isinstance(failure, OrderMisdirected):
            failure_detector.record_end(incarnation)
        self._dependencies.events.emit(
            OrderFailed(
                order=order,
                server=incarnation.server,
                first=key_range.first,
                last=key_range.last,
                fence=key_range.fence,
                cause=type(failure).__name__,
                detail=failure.detail,
            ),
        )
