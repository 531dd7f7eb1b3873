"""Check that the logs of routers have all answers that callers received.

A router may leave out lines that exceed a rate, but tells their number: as many
answers, received in that time, may lack a line. An answer shortly before its
router was killed is not checked, because lines are written later than their
events, and the number of left-out lines more than a second later.

Callers send a whole head with an id at once, so all answers have an id.
"""

from collections import Counter
from collections.abc import Iterable, Mapping
from enum import StrEnum, unique
from pathlib import Path
from typing import Final

import trio

from soak._answer_record import AnswerRecord
from soak._process_times import ProcessTimes
from soak._router_log import Omission, RouterLog
from soak._testbed import Testbed

# Lines are written every 0.05 s, and the number of left-out lines with the
# first event after the second in which they were left out.
KILL_MARGIN_SECONDS: Final = 1.5


@unique
class LogFinding(StrEnum):
    """What the log of a router tells of an answer."""

    LOGGED = 'logged'
    LEFT_OUT = 'left out'
    UNCHECKED = 'unchecked'
    MISSING = 'missing'


def check_answers(
    answers: Iterable[AnswerRecord], log: RouterLog, times: ProcessTimes
) -> Mapping[AnswerRecord, LogFinding]:
    """Look for the answers of a router in its log.

    Args:
        answers: Answers that callers received from the router.
        log: Its log.
        times: When it was paused and killed.
    """
    findings = dict.fromkeys(answers, LogFinding.LOGGED)
    without_line = [answer for answer in findings if not log.has(answer)]
    left_out = _assign(without_line, log.omissions)
    for answer in without_line:
        if answer in left_out:
            findings[answer] = LogFinding.LEFT_OUT
        elif (
            times.run_seconds(answer.incarnation, answer.received_at)
            < KILL_MARGIN_SECONDS
        ):
            findings[answer] = LogFinding.UNCHECKED
        else:
            findings[answer] = LogFinding.MISSING
    return findings


async def check_logs(testbed: Testbed, directory: Path) -> Counter[str]:
    """Report the answers that are missing in the logs of ended routers.

    Args:
        testbed: The routers, the answers, and the checker that receives
            violations.
        directory: Directory of the logs.

    Returns:
        Number of the routers' refusals by finding.
    """
    refusals: Counter[str] = Counter()
    for router in testbed.routers:
        path = directory / f'{router.name}.log'
        log = await trio.to_thread.run_sync(RouterLog.read, path)
        answers = testbed.checker.answers_by_router[router.name]
        findings = check_answers(answers, log, router.times)
        for answer, finding in findings.items():
            if not answer.is_from_server:
                refusals[finding.value] += 1
            if finding is LogFinding.MISSING:
                _report(testbed, answer)
    return refusals


def _assign(
    answers: Iterable[AnswerRecord], omissions: Iterable[Omission]
) -> set[AnswerRecord]:
    """Return at most as many answers as lines were left out at their times."""
    assigned: set[AnswerRecord] = set()
    by_time = sorted(answers, key=lambda answer: answer.received_at)
    for omission in omissions:
        candidates = [
            answer
            for answer in by_time
            if answer not in assigned and omission.may_include(answer)
        ]
        assigned.update(candidates[: omission.count])
    return assigned


def _report(testbed: Testbed, answer: AnswerRecord) -> None:
    kind = 'answer' if answer.is_from_server else 'refusal'
    testbed.checker.record_violation(f'{kind} not in the log', str(answer))
    testbed.event_file.write('unlogged', kind=kind, answer=answer)
