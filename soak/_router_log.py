"""Answers in the log of a router."""

import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Final

from carobwalk.events import LinesLeftOut, LoggedEvent
from carobwalk.events.timeline import read_log
from carobwalk.gateway import RequestAnswered
from soak._answer_record import AnswerRecord

_ANSWERED: Final = RequestAnswered.__name__
_LEFT_OUT: Final = LinesLeftOut.__name__


@dataclass(frozen=True, slots=True)
class Omission:
    """Lines about answers that a router left out to limit its log.

    Args:
        after: Wall time in seconds of the last line before them.
        until: Wall time in seconds of the line that tells their number.
        count: Their number.
    """

    after: float
    until: float
    count: int

    def may_include(self, answer: AnswerRecord) -> bool:
        """Return whether the line of an answer can be one of them."""
        return answer.sent_at <= self.until and self.after <= answer.received_at


@dataclass(frozen=True, slots=True)
class RouterLog:
    """Answers in the log of a router, of all its incarnations.

    Args:
        answers: Id and status of each answer with a line.
        omissions: Lines that were left out, in the order of time.
    """

    answers: frozenset[tuple[str, str]]
    omissions: tuple[Omission, ...]

    @classmethod
    def read(cls, path: Path) -> 'RouterLog':
        """Read the file of a router, to which each incarnation appends."""
        return cls.of(read_log(path).unwrap().events)

    @classmethod
    def of(cls, events: Sequence[LoggedEvent]) -> 'RouterLog':
        """Select what events in the order of the file tell of answers."""
        # A line that was cut off by a kill may lack its last fields.
        answers = frozenset(
            (event.fields.get('request', ''), event.fields['status'])
            for event in events
            if event.name == _ANSWERED and 'status' in event.fields
        )
        return cls(answers, tuple(_find_omissions(events)))

    def has(self, answer: AnswerRecord) -> bool:
        """Return whether an answer has a line with its id and status."""
        return (answer.request, str(answer.status)) in self.answers


def _find_omissions(events: Sequence[LoggedEvent]) -> Iterable[Omission]:
    """Return the omissions; within one, all lines after the last are left out.

    A router tells their number in the first line after the second in which it
    left them out.
    """
    after = -math.inf
    for event in events:
        if event.name == _ANSWERED:
            after = event.stamp.seconds
        elif event.name == _LEFT_OUT and event.fields['name'] == _ANSWERED:
            count = int(event.fields['count'])
            yield Omission(after, event.stamp.seconds, count)
