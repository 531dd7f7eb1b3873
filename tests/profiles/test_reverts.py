"""Writes that revert changes of other operators."""

from typing import Any

import pytest

from carobwalk.profiles import RevertsAnother
from tests.profiles._decisions import accept, case_configuration, refuse
from tests.profiles._proposals import PROFILE, SERVICE, propose


class TestReverts:
    """Writes that revert changes of other operators."""

    def test_undeclared(self) -> None:
        """Restoring the value from before another's change is rejected."""
        record = accept(
            case_configuration(),
            propose(PROFILE, 'base', {'slots': 5}, 3, author='bo'),
        )
        failure = refuse(record, propose(PROFILE, 'base', {'slots': 4}, 4))
        assert isinstance(failure, RevertsAnother)
        assert [change.revision for change in failure.changes] == [4]
        assert 'state reverting 4' in failure.way_out

    def test_declared(self) -> None:
        """A declared revert is accepted and recorded in the history."""
        write = propose(PROFILE, 'base', {'slots': 4}, 4, reverting=(4,))
        record = accept(
            case_configuration(),
            propose(PROFILE, 'base', {'slots': 5}, 3, author='bo'),
            write,
        )
        assert record.recent[-1].reverted == (4,)

    def test_across_own_changes(self) -> None:
        """Restoring an older value of one's own also reverts later changes."""
        record = accept(
            case_configuration(),
            propose(PROFILE, 'base', {'slots': 5}, 3),
            propose(PROFILE, 'base', {'slots': 6}, 4, author='bo'),
        )
        failure = refuse(record, propose(PROFILE, 'base', {'slots': 4}, 5))
        assert isinstance(failure, RevertsAnother)
        assert [change.author for change in failure.changes] == ['bo']

    def test_own_change(self) -> None:
        """Reverting only one's own changes needs no declaration."""
        record = accept(
            case_configuration(),
            propose(PROFILE, 'base', {'slots': 5}, 3),
            propose(PROFILE, 'base', {'slots': 4}, 4),
        )
        assert record.recent[-1].reverted == ()

    @pytest.mark.parametrize('fields', [{}, {'slots': 2}])
    def test_deletion_of_a_fresh_creation(self, fields: dict[str, Any]) -> None:
        """Deleting a subject that another operator created reverts it."""
        record = accept(
            case_configuration(),
            propose(PROFILE, 'new', fields, 3, author='bo'),
        )
        failure = refuse(record, propose(PROFILE, 'new', None, 4))
        assert isinstance(failure, RevertsAnother)

    def test_service_assignment(self) -> None:
        """Assigning a service back to its former profile is a revert."""
        record = accept(
            case_configuration(),
            propose(SERVICE, 'case-registry', {'profile': 'base'}, 3),
        )
        back = propose(
            SERVICE,
            'case-registry',
            {'profile': 'filings'},
            4,
            author='bo',
        )
        assert isinstance(refuse(record, back), RevertsAnother)

    def test_creation_after_a_deletion_by_another(self) -> None:
        """Recreating a subject that another deleted is always a revert."""
        record = accept(
            case_configuration(),
            propose(PROFILE, 'spare', {'slots': 1}, 3),
            propose(PROFILE, 'spare', None, 4),
        )
        back = propose(PROFILE, 'spare', {'slots': 9}, 5, author='bo')
        assert isinstance(refuse(record, back), RevertsAnother)
