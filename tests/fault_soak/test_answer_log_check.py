"""Tests of the check that the logs of routers have their answers."""

from dataclasses import replace
from pathlib import Path

import pytest

from carobwalk.events import HybridStamp, LoggedEvent, format_line
from soak._answer_log_check import (
    KILL_MARGIN_SECONDS,
    LogFinding,
    check_answers,
)
from soak._answer_record import AnswerRecord
from soak._process_times import ProcessTimes
from soak._router_log import RouterLog

REFUSAL = AnswerRecord(
    request='a',
    status=503,
    router='r',
    incarnation=1,
    sent_at=10,
    received_at=10.5,
    is_from_server=False,
)
KILL = REFUSAL.received_at + KILL_MARGIN_SECONDS


def _event(event: str, seconds: float, **fields: object) -> LoggedEvent:
    stamp = HybridStamp(int(seconds * 1_000_000), 0)
    texts = {field: str(text) for field, text in fields.items()}
    return LoggedEvent('r', stamp, event, texts)


def _answered(request: str, status: int, seconds: float = 10) -> LoggedEvent:
    return _event('RequestAnswered', seconds, request=request, status=status)


def _left_out(
    count: int, seconds: float, name: str = 'RequestAnswered'
) -> LoggedEvent:
    return _event('LinesLeftOut', seconds, name=name, count=count)


def _findings(
    answers: list[AnswerRecord],
    events: list[LoggedEvent],
    times: ProcessTimes | None = None,
) -> list[LogFinding]:
    log = RouterLog.of(events)
    found = check_answers(answers, log, times or ProcessTimes())
    return [found[answer] for answer in answers]


class TestAnswersInTheLog:
    def test_answer_with_its_line(self) -> None:
        """A line with the id and the status is found."""
        assert _findings([REFUSAL], [_answered('a', 503)]) == ['logged']

    @pytest.mark.parametrize(
        'line',
        [
            _answered('b', 503),
            _answered('', 503),
            _answered('a', 502),
            _event('CallerLeft', 10, request='a'),
        ],
    )
    def test_answer_without_its_line(self, line: LoggedEvent) -> None:
        """Lines of other requests, statuses and events do not count."""
        assert _findings([REFUSAL], [line]) == ['missing']

    def test_lines_of_a_file(self, tmp_path: Path) -> None:
        """Lines of all incarnations are read, a broken one is not."""
        path = tmp_path / 'r.log'
        lines = [format_line(_answered(name, 503)) for name in 'abc']
        path.write_text(f'{lines[0]}\n{lines[1][:-20]}\n{lines[2]}\n')
        answers = [replace(REFUSAL, request=name) for name in 'abc']
        found = check_answers(answers, RouterLog.read(path), ProcessTimes())
        assert list(found.values()) == ['logged', 'missing', 'logged']


class TestLeftOutLines:
    @pytest.mark.parametrize(('count', 'missing'), [(2, 1), (3, 0)])
    def test_are_counted(self, count: int, missing: int) -> None:
        """No more answers may lack a line than lines were left out."""
        answers = [replace(REFUSAL, request=name) for name in 'abc']
        events = [_answered('x', 200), _left_out(count, 11)]
        findings = _findings(answers, events)
        assert findings.count(LogFinding.MISSING) == missing
        assert findings.count(LogFinding.LEFT_OUT) == count

    def test_served_answers_use_them_up(self) -> None:
        """Answers of servers without a line count as well."""
        served = replace(
            REFUSAL,
            request='s',
            status=200,
            received_at=10.4,
            is_from_server=True,
        )
        events = [_answered('x', 200), _left_out(1, 11)]
        findings = _findings([REFUSAL, served], events)
        assert findings == ['missing', 'left out']

    @pytest.mark.parametrize(
        'events',
        [
            [_answered('x', 200, 10.6), _left_out(1, 11)],
            [_answered('x', 200, 9), _left_out(1, 9.9)],
            [_answered('x', 200), _left_out(1, 11, 'AttemptFailed')],
        ],
    )
    def test_of_another_time_or_kind(self, events: list[LoggedEvent]) -> None:
        """Lines left out before, afterwards or of other events do not count."""
        assert _findings([REFUSAL], events) == ['missing']

    def test_each_answer_finds_its_time(self) -> None:
        """Two answers are assigned so that both are accounted for."""
        late = replace(REFUSAL, request='b', received_at=11.5)
        events = [
            _answered('x', 200),
            _left_out(1, 11),
            _answered('y', 200, 11.2),
            _left_out(1, 12),
        ]
        assert _findings([late, REFUSAL], events) == ['left out', 'left out']


class TestKilledRouter:
    @pytest.mark.parametrize(
        ('killed_at', 'finding'),
        [
            (KILL, 'missing'),
            (KILL - 0.01, 'unchecked'),
            (REFUSAL.received_at - 0.01, 'unchecked'),
        ],
    )
    def test_kill_after_the_answer(
        self, killed_at: float, finding: str
    ) -> None:
        """Only what was answered shortly before a kill may lack its line."""
        times = ProcessTimes()
        times.record_kill(1, killed_at)
        assert _findings([REFUSAL], [], times) == [finding]

    def test_kill_of_another_incarnation(self) -> None:
        """The end of another incarnation excuses nothing."""
        times = ProcessTimes()
        times.record_kill(2, KILL - 0.01)
        assert _findings([REFUSAL], [], times) == ['missing']

    @pytest.mark.parametrize(
        ('pause_end', 'finding'), [(KILL, 'unchecked'), (10.8, 'missing')]
    )
    def test_pause_before_the_kill(
        self, pause_end: float, finding: str
    ) -> None:
        """A paused process writes no lines, so pauses do not count."""
        times = ProcessTimes()
        times.begin_pause(10.6)
        times.end_pause(pause_end)
        times.record_kill(1, KILL + 0.3)
        assert _findings([REFUSAL], [], times) == [finding]

    def test_kill_ends_a_pause(self) -> None:
        """A pause of a killed process does not last on in its successor."""
        times = ProcessTimes()
        times.begin_pause(1)
        times.record_kill(1, 2)
        times.record_kill(2, KILL)
        answer = replace(REFUSAL, incarnation=2)
        assert _findings([answer], [], times) == ['missing']
