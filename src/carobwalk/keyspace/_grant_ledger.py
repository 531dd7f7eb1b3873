"""Upper bounds on how long backend servers may hold keys."""

import math
from collections import defaultdict
from dataclasses import dataclass

import msgspec

from carobwalk.directory import ServerIncarnation
from carobwalk.keyspace._inherited_grants import InheritedGrants
from carobwalk.keyspace._key_range import MAX_KEY, KeyBounds, KeyRange
from carobwalk.keyspace._sent_grants import SentGrant, SentGrants
from carobwalk.keyspace._times import KeyTimes
from carobwalk.model import Clock, ServerId

_ALL_KEYS: KeyBounds = (0, MAX_KEY)


@dataclass(frozen=True, slots=True, kw_only=True)
class InheritedBounds:
    """Bounds on the grants that earlier coordinators sent.

    Args:
        holds: Seconds until the last of these grants has expired.
        unanswered: Seconds until the last unanswered one has expired.
    """

    holds: float
    unanswered: float


class GrantBounds(msgspec.Struct, array_like=True, frozen=True):
    """Bounds on the grants of one range to one incarnation of a server.

    Args:
        server: Identity of the server.
        born: Start of the incarnation, in milliseconds since 1970.
        keys: First and last key of the range.
        holds: Seconds until the last of these grants has expired.
        unanswered: Seconds until the last unanswered one has expired.
    """

    server: str
    born: int
    keys: KeyBounds
    holds: float
    unanswered: float


class LedgerState(msgspec.Struct, frozen=True):
    """Bounds on all outstanding grants of a term, sent to its successor.

    Args:
        holds: Seconds until the grants that the term itself inherited have
            expired.
        unanswered: Seconds until the unanswered ones of those have expired.
        grants: Bounds on the grants sent during the term.
    """

    holds: float
    unanswered: float
    grants: tuple[GrantBounds, ...]


class GrantLedger:
    """Tracks upper bounds on the expiry of all grants that were sent.

    An answered release ends the grants that were answered before it. A grant
    that was not answered may still be applied after a release; its duration
    counts from its arrival all the same. Bounds are taken when an outcome is
    known, not when a grant is sent, because the host may be suspended between.

    ``report_count`` is the number of predecessors' reports received, and
    ``inherited`` bounds the grants that neither they nor this term know of.

    Args:
        times: Timing settings of grants.
        clock: Clock that keeps running while the host is suspended.
        inherited: Bounds on the grants of earlier coordinators.
    """

    def __init__(
        self,
        times: KeyTimes,
        clock: Clock,
        inherited: InheritedBounds,
    ) -> None:
        self._times = times
        self._clock = clock
        self.inherited = InheritedGrants(
            clock, inherited.holds, inherited.unanswered
        )
        self._sent_by_incarnation: dict[ServerIncarnation, SentGrants] = (
            defaultdict(SentGrants)
        )
        self._grant_count = 0
        self.report_count = 0

    def record_send(self, key_range: KeyRange, hold: float) -> SentGrant:
        """Record that a grant is about to be sent to the owner of a range.

        Args:
            key_range: Range that is granted.
            hold: Duration of the grant in seconds.

        Returns:
            The grant, with which its outcome is recorded.
        """
        times = self._times
        self._grant_count += 1
        sent_grant = SentGrant(
            incarnation=key_range.owner,
            bounds=key_range.bounds,
            number=self._grant_count,
            longest_delay=times.longest_delay,
            longest_validity=times.longest_validity(hold),
        )
        sent = self._sent_by_incarnation[key_range.owner]
        sent.drop_expired(self._clock.now())
        sent.record_send(sent_grant)
        return sent_grant

    def record_answer(self, sent_grant: SentGrant) -> None:
        """Record that a grant was just answered."""
        sent = self._sent_by_incarnation[sent_grant.incarnation]
        sent.record_answer(sent_grant, self._clock.now())

    def retract(self, sent_grant: SentGrant) -> None:
        """Record that no part of a grant was sent after all."""
        sent = self._sent_by_incarnation[sent_grant.incarnation]
        sent.retract(sent_grant)

    def record_no_answer(self, sent_grant: SentGrant) -> None:
        """Record that the wait for the answer to a grant just ended."""
        arrival = self._clock.now() + self._times.arrival_slack
        sent = self._sent_by_incarnation[sent_grant.incarnation]
        sent.record_no_answer(sent_grant, arrival + sent_grant.longest_validity)

    def holds_until(
        self,
        incarnation: ServerIncarnation,
        keys: KeyBounds = _ALL_KEYS,
    ) -> float:
        """Return when an incarnation's grants of some keys have expired."""
        sent = self._sent_by_incarnation[incarnation]
        end = sent.holds_until(keys, self._clock.now())
        return max(end, self.inherited.held_until)

    def free_after_release(
        self,
        incarnation: ServerIncarnation,
        keys: KeyBounds = _ALL_KEYS,
    ) -> float:
        """Return when no unanswered grant can follow a release any more."""
        sent = self._sent_by_incarnation[incarnation]
        end = sent.unanswered_until(keys, self._clock.now())
        return max(end, self.inherited.unanswered_until)

    def state(self) -> LedgerState:
        """Return the bounds that a successor has to wait for."""
        now = self._clock.now()
        grants = tuple(
            GrantBounds(
                server=incarnation.server,
                born=incarnation.born,
                keys=keys,
                holds=holds - now,
                unanswered=max(unanswered - now, 0),
            )
            for incarnation, sent in self._sent_by_incarnation.items()
            for keys, holds, unanswered in sent.rows(now)
            if holds > now
        )
        return LedgerState(
            max(self.inherited.held_until - now, 0),
            max(self.inherited.unanswered_until - now, 0),
            grants,
        )

    def inherit(self, state: LedgerState) -> None:
        """Replace the assumed bounds of inherited grants by reported ones.

        Args:
            state: Bounds reported by the predecessor, relative to now.
        """
        now = self._clock.now()
        self.report_count += 1
        self.inherited.lower(state.holds, state.unanswered)
        for row in state.grants:
            incarnation = ServerIncarnation(ServerId(row.server), row.born)
            self._sent_by_incarnation[incarnation].inherit(
                row.keys,
                now + row.holds,
                now + row.unanswered,
            )

    @property
    def is_settled(self) -> bool:
        """Whether no unanswered grant can still be in force."""
        now = self._clock.now()
        latest = max(
            (
                sent.unanswered_until(_ALL_KEYS, now)
                for sent in self._sent_by_incarnation.values()
            ),
            default=-math.inf,
        )
        return max(latest, self.inherited.unanswered_until) <= now
