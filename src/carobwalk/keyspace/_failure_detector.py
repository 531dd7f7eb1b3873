"""Failure detection for the backend servers that own keys."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from carobwalk.directory import ServerIncarnation
from carobwalk.keyspace._times import KeyTimes
from carobwalk.model import Clock

# How long after its last unanswered order a server is given no keys.
_EXCLUSION_SECONDS: Final = 3.0


@dataclass(slots=True)
class _FailureEvidence:
    has_ended: bool = False
    unresponsive_since: float | None = None
    last_failure_at: float = float('-inf')


class FailureDetector:
    """Distinguishes lost servers from slow ones that still answer callers.

    Only another server at its address proves that a server has ended. One that
    doesn't answer, or refuses connections, may live and hold its keys.

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
        sent grants to a new process of the same server.
        """
        self._evidence_by_incarnation.clear()

    def record_answer(self, incarnation: ServerIncarnation) -> None:
        """Record an answer to an order and clear earlier failures."""
        self._evidence_by_incarnation.pop(incarnation, None)

    def record_no_answer(
        self, incarnation: ServerIncarnation, *, is_refused: bool = False
    ) -> None:
        """Record that an order was not answered.

        Args:
            incarnation: Incarnation that the order was for.
            is_refused: Whether the connection was refused, so that the order
                failed at once and not after its timeout.
        """
        evidence = self._evidence_by_incarnation.setdefault(
            incarnation, _FailureEvidence()
        )
        now = self._clock.now()
        evidence.last_failure_at = now
        if evidence.unresponsive_since is None:
            waited = 0 if is_refused else self._times.order_timeout
            evidence.unresponsive_since = now - waited

    def record_end(self, incarnation: ServerIncarnation) -> None:
        """Record that another server listens at the incarnation's address."""
        evidence = self._evidence_by_incarnation.setdefault(
            incarnation, _FailureEvidence()
        )
        evidence.has_ended = True

    def has_ended(self, incarnation: ServerIncarnation) -> bool:
        """Whether the incarnation's process is known to have ended."""
        evidence = self._evidence_by_incarnation.get(incarnation)
        return evidence is not None and evidence.has_ended

    def is_unresponsive(self, incarnation: ServerIncarnation) -> bool:
        """Whether the server does not answer; it may still hold its keys.

        Answers that are reported after a failed order may have been given
        before it, so its silence counts anew from there.
        """
        evidence = self._evidence_by_incarnation.get(incarnation)
        if evidence is None or evidence.unresponsive_since is None:
            return False
        now = self._clock.now()
        if now - evidence.last_failure_at > _EXCLUSION_SECONDS:
            self._evidence_by_incarnation.pop(incarnation)
            return False
        silent_since = max(
            evidence.unresponsive_since, self._last_answered_at(incarnation)
        )
        return now - silent_since >= self._times.detection_timeout

    def has_unanswered_order(self, incarnation: ServerIncarnation) -> bool:
        """Whether the last order to the server was not answered lately."""
        evidence = self._evidence_by_incarnation.get(incarnation)
        if evidence is None:
            return False
        age = self._clock.now() - evidence.last_failure_at
        return age <= _EXCLUSION_SECONDS

    def is_usable(self, incarnation: ServerIncarnation) -> bool:
        """Whether the server may be given keys."""
        return not self.has_ended(incarnation) and not self.is_unresponsive(
            incarnation
        )
