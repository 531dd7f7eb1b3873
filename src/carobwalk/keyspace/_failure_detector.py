"""Failure detection for the backend servers that own keys."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from carobwalk.directory import ServerIncarnation
from carobwalk.keyspace._load_report import REPORT_INTERVAL_SECONDS
from carobwalk.keyspace._times import KeyTimes
from carobwalk.model import Clock

_MIN_REFUSALS: Final = 2
_MIN_REFUSAL_SECONDS: Final = 0.1
# Longest time that a load report takes to arrive.
_REPORT_DELAY_SECONDS: Final = 0.05
# A server that answers is reported on by some process within this time.
_MIN_SILENCE_SECONDS: Final = REPORT_INTERVAL_SECONDS + _REPORT_DELAY_SECONDS
# How long after its last unanswered order a server is given no keys.
_EXCLUSION_SECONDS: Final = 3.0


@dataclass(slots=True)
class _FailureEvidence:
    unresponsive_since: float | None = None
    last_timeout_at: float = float('-inf')
    refused_since: float | None = None
    refusals: int = 0


class FailureDetector:
    """Distinguishes lost servers from slow ones that still answer callers.

    Args:
        times: Timing settings of key ownership.
        clock: Clock that keeps running while the host is suspended.
        last_answered_at: Returns when an incarnation last answered a caller's
            request, according to the load reports of all processes.
    """

    def __init__(
        self,
        times: KeyTimes,
        clock: Clock,
        last_answered_at: Callable[[ServerIncarnation], float],
    ) -> None:
        self._times = times
        self._clock = clock
        self._last_answered_at = last_answered_at
        self._evidence_by_incarnation: dict[
            ServerIncarnation, _FailureEvidence
        ] = {}

    def clear(self) -> None:
        """Drop all evidence when a term begins.

        Since an earlier term of this process, another coordinator may have
        sent grants to a new process at an address that refused connections.
        """
        self._evidence_by_incarnation.clear()

    def record_answer(self, incarnation: ServerIncarnation) -> None:
        """Record an answer to an order and clear earlier failures."""
        self._evidence_by_incarnation.pop(incarnation, None)

    def record_no_answer(
        self, incarnation: ServerIncarnation, *, is_sent: bool = True
    ) -> None:
        """Record that an order was not answered.

        Args:
            incarnation: Incarnation that the order was for.
            is_sent: Whether the connection opened: then a process listens, and
                earlier refusals prove nothing any more.
        """
        evidence = self._evidence_by_incarnation.setdefault(
            incarnation, _FailureEvidence()
        )
        now = self._clock.now()
        evidence.last_timeout_at = now
        if is_sent:
            evidence.refused_since = None
            evidence.refusals = 0
        if evidence.unresponsive_since is None:
            evidence.unresponsive_since = now - self._times.order_timeout

    def record_refusal(self, incarnation: ServerIncarnation) -> None:
        """Record that nothing listens at the server's address.

        Answers that are reported after a refusal may have been given before
        it, so refusals are counted anew from there.
        """
        evidence = self._evidence_by_incarnation.setdefault(
            incarnation, _FailureEvidence()
        )
        since = evidence.refused_since
        if since is None or self._last_answered_at(incarnation) > since:
            evidence.refused_since = self._clock.now()
            evidence.refusals = 0
        evidence.refusals += 1

    def is_dead(self, incarnation: ServerIncarnation) -> bool:
        """Whether the incarnation has ended: its process no longer listens."""
        evidence = self._evidence_by_incarnation.get(incarnation)
        if evidence is None or evidence.refused_since is None:
            return False
        now = self._clock.now()
        answered_at = self._last_answered_at(incarnation)
        if answered_at > evidence.refused_since:
            return False
        return (
            evidence.refusals >= _MIN_REFUSALS
            and now - evidence.refused_since >= _MIN_REFUSAL_SECONDS
            and now - answered_at >= _MIN_SILENCE_SECONDS
        )

    def is_unresponsive(self, incarnation: ServerIncarnation) -> bool:
        """Whether the server does not answer; it may still hold its keys."""
        evidence = self._evidence_by_incarnation.get(incarnation)
        if evidence is None or evidence.unresponsive_since is None:
            return False
        now = self._clock.now()
        if now - evidence.last_timeout_at > _EXCLUSION_SECONDS:
            self._evidence_by_incarnation.pop(incarnation)
            return False
        if self._last_answered_at(incarnation) > evidence.unresponsive_since:
            return False
        return (
            now - evidence.unresponsive_since >= self._times.detection_timeout
        )

    def has_unanswered_order(self, incarnation: ServerIncarnation) -> bool:
        """Whether the last order to the server was not answered lately."""
        evidence = self._evidence_by_incarnation.get(incarnation)
        if evidence is None:
            return False
        age = self._clock.now() - evidence.last_timeout_at
        return age <= _EXCLUSION_SECONDS

    def is_usable(self, incarnation: ServerIncarnation) -> bool:
        """Whether the server may be given keys."""
        return not self.is_dead(incarnation) and not self.is_unresponsive(
            incarnation
        )
