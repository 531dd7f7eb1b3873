"""Tests of numbers of callers that are too long to be computed with."""

import h11
import pytest
from result import Ok

from carobwalk.entry import Classifier
from carobwalk.model import ProcessId
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
