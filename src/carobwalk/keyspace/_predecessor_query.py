"""Query of a new coordinator for the grants of the preceding one."""

import itertools
from typing import Final

import msgspec
import trio
from result import Err

from carobwalk.events import EventLog
from carobwalk.keyspace._claimant import Claimant
from carobwalk.keyspace._events import PeerAnswerDropped
from carobwalk.keyspace._grant_ledger import GrantLedger, LedgerState
from carobwalk.keyspace._succession_messages import (
    SUCCESSION_TOPIC,
    SuccessionAnswer,
    SuccessionQuestion,
)
from carobwalk.keyspace._term_events import PredecessorAsked, QueryOutcome
from carobwalk.lease import Term
from carobwalk.model import DECODE_ERRORS, ServiceName
from carobwalk.peer import Peers

_ANSWER_TIMEOUT_SECONDS: Final = 0.5
# From the start of one question to that of the next. It equals the timeout so
# that a process that was frozen finds a question that is still waited for.
_QUESTION_INTERVAL_SECONDS: Final = _ANSWER_TIMEOUT_SECONDS


class PredecessorQuery:
    """Asks a predecessor for the bounds of its term until it answers.

    The report may arrive at any time: a bound that it lowers comes with all
    grants that are known to exceed it, and bounds on grants are only raised.

    Args:
        peers: Sends the questions.
        events: Event log.
        predecessor: Coordinator that wrote the key map before.
        service: Service that the key map belongs to.
    """

    def __init__(
        self,
        peers: Peers,
        events: EventLog,
        predecessor: Claimant,
        service: ServiceName,
    ) -> None:
        self._peers = peers
        self._events = events
        self._predecessor = predecessor
        self._service = service

    async def run(self, term: Term, ledger: GrantLedger) -> None:
        """Ask until there is an answer or nothing to gain from one.

        Nothing is to be gained when the new term is over or the assumed
        bounds have expired; until an answer these stay in force. A process
        that does not know its term has restarted and will never know it.

        Args:
            term: The new term.
            ledger: Ledger of the new term, which receives the bounds.
        """
        for attempts in itertools.count(1):
            next_at = trio.current_time() + _QUESTION_INTERVAL_SECONDS
            answer = await self._ask()
            if answer is not None:
                self._take(answer.state, ledger, attempts)
                return
            if attempts == 1:
                self._log(QueryOutcome.UNANSWERED, attempts)
            await trio.sleep_until(next_at)
            if term.is_over:
                return
            if ledger.inherited.are_over:
                self._log(QueryOutcome.EXPIRED, attempts)
                return

    async def _ask(self) -> SuccessionAnswer | None:
        question = SuccessionQuestion(
            str(self._predecessor.lease), self._service
        )
        answered = await self._peers.ask(
            self._predecessor.coordinator,
            SUCCESSION_TOPIC,
            msgspec.msgpack.encode(question),
            _ANSWER_TIMEOUT_SECONDS,
        )
        if isinstance(answered, Err):
            return None
        try:
            return msgspec.msgpack.decode(
                answered.ok_value, type=SuccessionAnswer
            )
        except DECODE_ERRORS as error:
            self._events.emit(
                PeerAnswerDropped(
                    self._predecessor.coordinator.name,
                    SUCCESSION_TOPIC,
                    str(error),
                ),
            )
        return None

    def _take(
        self,
        state: LedgerState | None,
        ledger: GrantLedger,
        attempts: int,
    ) -> None:
        """Merge an answer into the ledger."""
        if state is None:
            self._log(QueryOutcome.UNKNOWN_TERM, attempts)
            return
        ledger.inherit(state)
        self._log(QueryOutcome.REPORTED, attempts, state)

    def _log(
        self,
        outcome: QueryOutcome,
        attempts: int,
        state: LedgerState | None = None,
    ) -> None:
        grants = state.grants if state else ()
        latest = max((grant.holds for grant in grants), default=-1)
        self._events.emit(
            PredecessorAsked(
                self._service,
                self._predecessor.coordinator.name,
                outcome,
                attempts,
                holds=round(state.holds, 3) if state else -1,
                grants=len(grants),
                latest=round(latest, 3),
            ),
        )
