"""Transfer of outstanding grant bounds from a coordinator to its successor.

Without it a successor has to wait for the longest possible grants, because it
does not know which grants were sent last.
"""

from collections import OrderedDict
from dataclasses import dataclass
from typing import Final

import msgspec

from carobwalk.events import EventLog
from carobwalk.keyspace._claimant import Claimant
from carobwalk.keyspace._grant_ledger import GrantLedger
from carobwalk.keyspace._predecessor_query import PredecessorQuery
from carobwalk.keyspace._succession_messages import (
    SuccessionAnswer,
    SuccessionQuestion,
)
from carobwalk.lease import Term, TermEnded
from carobwalk.model import ProcessId, ServiceName
from carobwalk.peer import Peers

# Number of terms of this process that successors may still ask about.
_MAX_SERVED_TERMS: Final = 8


@dataclass(frozen=True, slots=True)
class _ServedTerm:
    term: Term
    ledger: GrantLedger


class Succession:
    """Answers succeeding coordinators and queries preceding ones.

    Args:
        peers: Sends the queries.
        events: Event log.
    """

    def __init__(self, peers: Peers, events: EventLog) -> None:
        self._peers = peers
        self._events = events
        self._served: OrderedDict[SuccessionQuestion, _ServedTerm] = (
            OrderedDict()
        )

    def register(
        self,
        service: ServiceName,
        term: Term,
        ledger: GrantLedger,
    ) -> None:
        """Retain the ledger of a new term for queries of its successor."""
        question = SuccessionQuestion(str(term.lease), service)
        self._served[question] = _ServedTerm(term, ledger)
        while len(self._served) > _MAX_SERVED_TERMS:
            self._served.popitem(last=False)

    async def answer(self, sender: ProcessId, payload: bytes) -> bytes:
        """Answer a successor with the bounds of a term; a ``TopicHandler``.

        The successor has already overwritten the term's key map, so the term
        is over even if this process has not noticed yet.
        """
        question = msgspec.msgpack.decode(payload, type=SuccessionQuestion)
        served = self._served.get(question)
        if served is None:
            return msgspec.msgpack.encode(SuccessionAnswer())
        if not served.term.is_over:
            served.term.end()
            cause = f'succeeded by {sender}'
            self._events.emit(TermEnded(served.term.lease, cause))
        return msgspec.msgpack.encode(SuccessionAnswer(served.ledger.state()))

    async def ask_predecessor(
        self,
        predecessor: Claimant,
        service: ServiceName,
        term: Term,
        ledger: GrantLedger,
    ) -> None:
        """Query a predecessor for its bounds and merge them into a ledger.

        The assumed bounds stay in force until the predecessor answers.

        Args:
            predecessor: Coordinator that wrote the key map before.
            service: Service that the key map belongs to.
            term: The new term.
            ledger: Ledger of the new term.
        """
        own = self._served.get(
            SuccessionQuestion(str(predecessor.lease), service)
        )
        if own is not None and own.ledger is ledger:
            return  # An earlier claim in this term whose answer was lost.
        query = PredecessorQuery(
            self._peers, self._events, predecessor, service
        )
        await query.run(term, ledger)
