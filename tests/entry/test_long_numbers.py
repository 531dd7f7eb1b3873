"""Tests of numbers of callers that are too long to be computed with."""

import h11
import pytest
from result import Ok

from carobwalk.dispatch._headers import parse_refusal
from carobwalk.entry import Classifier
from carobwalk.entry._failure_response import failure_headers
from carobwalk.model import Failure, FailureKind, Outcome, ProcessId
from tests.entry.test_fuzz import CATALOGUE


class TestLongDeadline:
    @pytest.mark.parametrize('digits', [400, 5000])
    def test_deadline(self, digits: int) -> None:
        """A deadline of any length is rejected or cut to the longest one."""
        # Guards against one request that ends the process: exceptions of the
        # classifier are not caught.
        classifier = Classifier(ProcessId('p'), lambda: CATALOGUE)
        head = h11.Request(
            method='GET',
            target='/ban-ve/a',
            headers=[
                ('host', 'x'),
                ('carobwalk-deadline-ms', '9' * digits),
            ],
        )
        classified = classifier.classify(head, '127.0.0.1')
        if isinstance(classified, Ok):
            assert classified.ok_value.deadline < 9**9

    def test_digits(self) -> None:
        """A deadline within the limit of digits is computed with."""
        classifier = Classifier(ProcessId('p'), lambda: CATALOGUE)
        headers = [('host', 'x'), ('carobwalk-deadline-ms', '000000000500')]
        head = h11.Request(method='GET', target='/ban-ve/a', headers=headers)
        classified = classifier.classify(head, '127.0.0.1')
        assert classified.ok_value.deadline == pytest.approx(0.5)


class TestLongRetryAfter:
    @pytest.mark.parametrize(
        ('text', 'expected'),
        [
            (b'2', b'2'),
            (b'9' * 12, b'9' * 12),
            (b'9' * 13, None),
            (b'9' * 400, None),
            (b'9' * 5000, None),
        ],
        ids=['short', 'limit', 'over', '400', '5000'],
    )
    def test_refusal(self, text: bytes, expected: bytes | None) -> None:
        """A time of too many digits is not passed on to the caller."""
        # Guards against a time that becomes infinite, which no field can hold.
        refused = parse_refusal(
            503, [(b'carobwalk-outcome', b'not-run'), (b'retry-after', text)]
        )
        assert refused is not None
        failure = Failure(
            kind=FailureKind.SHED,
            outcome=Outcome.NOT_RUN,
            detail='refused',
            retry_after=refused.retry_after,
        )
        fields = dict(failure_headers(failure, 'r', 1))
        assert fields.get(b'retry-after') == expected
