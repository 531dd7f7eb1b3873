"""Transfer of outstanding grant bounds from a coordinator to its successor.

Without it a successor has to wait for the longest possible grants, because it
does not know which grants were sent last.
"""

from collections import OrderedDict
from dataclasses import dataclass
from typing import Final

import msgspec
from result import Err

from carobwalk.events import EventLog
from carobwalk.keyspace._claimant import Claimant
from carobwalk.keyspace._grant_ledger import GrantLedger, LedgerState
from carobwalk.keyspace._term import Term
from carobwalk.keyspace._term_events import PredecessorAsked, TermEnded
from carobwalk.model import ProcessId, ServiceName
from carobwalk.peer import Peers, Topic

SUCCESSION_TOPIC: Final = Topic('keyspace.succession')
_ANSWER_TIMEOUT_SECONDS: Final = 0.5
# Number of terms of this process that successors may still ask about.
_MAX_SERVED_TERMS: Final = 8


class _Question(msgspec.Struct, frozen=True):
    lease: str
    service: str


class _Answer(msgspec.Struct, frozen=True):
    state: LedgerState | None = None


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
        self._served: OrderedDict[_Question, _ServedTerm] = OrderedDict()

    def register(
        self,
        service: ServiceName,
        term: Term,
        ledger: GrantLedger,
    ) -> None:
        """Retain the ledger of a new term for queries of its successor."""
        question = _Question(str(term.lease), service)
        self._served[question] = _ServedTerm(term, ledger)
        while len(self._served) > _MAX_SERVED_TERMS:
            self._served.popitem(last=False)

    async def answer(self, sender: ProcessId, payload: bytes) -> bytes:
        """Answer a successor with the bounds of a term; a ``TopicHandler``.

        The successor has already overwritten the term's key map, so the term
        is over even if this process has not noticed yet.
        """
        question = msgspec.msgpack.decode(payload, type=_Question)
        served = self._served.get(question)
        if served is None:
            return msgspec.msgpack.encode(_Answer())
        if not served.term.is_over:
            served.term.end()
            cause = f'succeeded by {sender}'
            self._events.emit(TermEnded(served.term.lease, cause))
        return msgspec.msgpack.encode(_Answer(served.ledger.state()))

    async def ask_predecessor(
        self,
        predecessor: Claimant,
        service: ServiceName,
        ledger: GrantLedger,
    ) -> None:
        """Query a predecessor for its bounds and merge them into a ledger.

        The assumed bounds stay in force if the predecessor does not answer.

        Args:
            predecessor: Coordinator that wrote the key map before.
            service: Service that the key map belongs to.
            ledger: Ledger of the new term.
        """
        own = self._served.get(_Question(str(predecessor.lease), service))
        if own is not None and own.ledger is ledger:
            return  # An earlier claim in this term whose answer was lost.
        state = await self._ask(predecessor, service)
        if state is not None:
            ledger.inherit(state)
        grants = state.grants if state else ()
        latest = max((grant.holds for grant in grants), default=-1)
        self._events.emit(
            PredecessorAsked(
                service,
                predecessor.coordinator.name,
                is_answered=state is not None,
                holds=round(state.holds, 3) if state else -1,
                grants=len(grants),
                latest=round(latest, 3),
            ),
        )

    async def _ask(
        self,
        predecessor: Claimant,
        service: ServiceName,
    ) -> LedgerState | None:
        question = _Question(str(predecessor.lease), service)
        answered = await self._peers.ask(
            predecessor.coordinator,
            SUCCESSION_TOPIC,
            msgspec.msgpack.encode(question),
            _ANSWER_TIMEOUT_SECONDS,
        )
        if isinstance(answered, Err):
            return None
        return msgspec.msgpack.decode(answered.ok_value, type=_Answer).state
