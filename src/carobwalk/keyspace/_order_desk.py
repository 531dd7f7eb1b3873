"""Sending of orders, with note of what each may have caused."""

from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass

import trio
from result import Err, Ok, Result

from carobwalk.events import EventLog
from carobwalk.keyspace._events import OrderFailed
from carobwalk.keyspace._grant_ledger import GrantLedger
from carobwalk.keyspace._key_range import KeyRange, ServerLife
from carobwalk.keyspace._orders import (
    Grant,
    OrderChannel,
    OrderFailure,
    OrderRefused,
    OrderUnanswered,
    OrderUnsent,
    Release,
)
from carobwalk.keyspace._server_lives import ServerLives
from carobwalk.keyspace._server_watch import ServerWatch
from carobwalk.keyspace._term import Term
from carobwalk.keyspace._times import KeyTimes


@dataclass(frozen=True, slots=True, kw_only=True)
class OrderParts:
    """What orders need.

    Args:
        channel: Sends orders.
        lives: Finds servers.
        watch: Signs of life of the servers.
        times: Times of orders.
        events: Log of events.
    """

    channel: OrderChannel
    lives: ServerLives
    watch: ServerWatch
    times: KeyTimes
    events: EventLog


class OrderDesk:
    """Sends orders during one term; one order to a server at a time.

    A grant that is on its way while its keys are released could arrive after
    the release.

    Args:
        parts: What orders need.
        term: Time during which orders may be sent.
        ledger: Bounds on what grants may cause.
    """

    def __init__(
        self,
        parts: OrderParts,
        term: Term,
        ledger: GrantLedger,
    ) -> None:
        self._parts = parts
        self._term = term
        self.ledger = ledger
        self._locks_by_life: dict[ServerLife, trio.Lock] = defaultdict(
            trio.Lock,
        )

    async def grant(
        self,
        part: KeyRange,
        handover: str,
        is_wanted: Callable[[], bool],
    ) -> Result[None, OrderFailure]:
        """Give or renew a range of keys.

        Args:
            part: The range; its owner gets the order.
            handover: State that the last owner handed over.
            is_wanted: Returns whether the order is still to be sent, asked
                just before.
        """
        life = part.owner
        server = self._parts.lives.server(life)
        if server is None:
            return Err(OrderUnsent('not registered', is_refused=False))
        async with self._locks_by_life[life]:
            if not self._term.is_valid or not is_wanted():
                return Err(OrderUnsent('not wanted', is_refused=False))
            hold = self._hold()
            bound = self.ledger.sending(part, hold)
            order = Grant(
                first=part.first,
                last=part.last,
                fence=part.fence,
                hold=hold,
                handover=handover,
            )
            answered = await self._parts.channel.grant(server, order)
            if isinstance(answered, Err):
                self._note_failure('grant', part, life, answered.err_value)
                if isinstance(answered.err_value, OrderUnanswered):
                    self.ledger.unanswered(part, hold)
                if isinstance(answered.err_value, OrderUnsent):
                    self.ledger.retract(part, bound)
                if isinstance(answered.err_value, OrderRefused):
                    self.ledger.answered(part)
                return answered
            self.ledger.answered(part)
        self._parts.watch.answered(life)
        return Ok(None)

    async def release(
        self,
        part: KeyRange,
        life: ServerLife,
    ) -> Result[str, OrderFailure]:
        """Take a range of keys back from a life.

        Args:
            part: The range, as it was assigned anew.
            life: Life that may hold the keys.

        Returns:
            The state that was handed over.
        """
        server = self._parts.lives.server(life)
        if server is None:
            return Err(OrderUnsent('not registered', is_refused=False))
        async with self._locks_by_life[life]:
            if not self._term.is_valid:
                return Err(OrderUnsent('not wanted', is_refused=False))
            order = Release(
                first=part.first,
                last=part.last,
                fence=part.fence,
            )
            released = await self._parts.channel.release(server, order)
        if isinstance(released, Err):
            self._note_failure('release', part, life, released.err_value)
        else:
            self._parts.watch.answered(life)
        return released

    def _hold(self) -> float:
        times = self._parts.times
        return times.longest_hold if self._term.is_in_doubt else times.hold

    def _note_failure(
        self,
        order: str,
        part: KeyRange,
        life: ServerLife,
        failure: OrderFailure,
    ) -> None:
        if isinstance(failure, OrderUnanswered):
            self._parts.watch.unanswered(life)
        if isinstance(failure, OrderUnsent):
            if failure.is_refused:
                self._parts.watch.refused(life)
            else:
                self._parts.watch.unanswered(life)
        self._parts.events.emit(
            OrderFailed(
                order=order,
                server=life.server,
                first=part.first,
                last=part.last,
                fence=part.fence,
                cause=type(failure).__name__,
                detail=failure.detail,
            ),
        )
