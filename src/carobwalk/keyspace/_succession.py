"""What a coordinator tells its successor about the grants that it sent.

Without it a successor waits for the longest grants that there can be, for it
can't know which of them were sent last.
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
_ANSWER_SECONDS: Final = 0.5
# Terms of this process that a successor may still ask about.
_KEPT_TERMS: Final = 8


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
    """Answers successors, and asks predecessors.

    Args:
        peers: Sends the questions.
        events: Log of events.
    """

    def __init__(self, peers: Peers, events: EventLog) -> None:
        self._peers = peers
        self._events = events
        self._served: OrderedDict[_Question, _ServedTerm] = OrderedDict()

    def begin(
        self,
        service: ServiceName,
        term: Term,
        ledger: GrantLedger,
    ) -> None:
        """Keep the ledger of a term for its successor."""
        question = _Question(str(term.lease), service)
        self._served[question] = _ServedTerm(term, ledger)
        while len(self._served) > _KEPT_TERMS:
            self._served.popitem(last=False)

    async def answer(self, sender: ProcessId, payload: bytes) -> bytes:
        """Tell a successor what it has to wait for; a ``TopicHandler``.

        Who asks has overwritten the map of the term, so the term is over
        even if this process hasn't heard of it.
        """
        question = msgspec.msgpack.decode(payload, type=_Question)
        served = self._served.get(question)
        if served is None:
            return msgspec.msgpack.encode(_Answer())
        if not served.term.is_over:
            served.term.end()
            cause = f'followed by {sender}'
            self._events.emit(TermEnded(served.term.lease, cause))
        return msgspec.msgpack.encode(_Answer(served.ledger.state()))

    async def learn(
        self,
        predecessor: Claimant,
        service: ServiceName,
        ledger: GrantLedger,
    ) -> None:
        """Take a predecessor's bounds, if it tells them.

        Args:
            predecessor: The coordinator that wrote the map before.
            service: Service whose keys the map divides.
            ledger: Ledger of the new term.
        """
        own = self._served.get(_Question(str(predecessor.lease), service))
        if own is not None and own.ledger is ledger:
            return  # An earlier claim in this term, whose answer was lost.
        state = await self._ask(predecessor, service)
        if state is not None:
            ledger.inherit(state)
        self._events.emit(
            PredecessorAsked(
                service,
                predecessor.coordinator.name,
                is_answered=state is not None,
                holds=round(state.holds, 3) if state else -1,
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
            _ANSWER_SECONDS,
        )
        if isinstance(answered, Err):
            return None
        return msgspec.msgpack.decode(answered.ok_value, type=_Answer).state
