"""Acceptance and rejection of proposals."""

from typing import Any

import pytest

from carobwalk.profiles import (
    Action,
    AlreadyExists,
    HeadRecord,
    InUse,
    Invalid,
    NotFound,
    StaleRevision,
    StoreBehind,
    SubjectKind,
    WriteIdTaken,
)
from carobwalk.profiles.writing._decision import decide
from tests.profiles._decisions import (
    POLICIES,
    accept,
    case_configuration,
    refuse,
)
from tests.profiles._proposals import PROFILE, SERVICE, propose


class TestBaseRevision:
    """Conflict detection by the base revision."""

    def test_stale_write_reports_the_conflicting_change(self) -> None:
        """A write on an old revision fails with the conflicting change."""
        record = accept(
            case_configuration(),
            propose(PROFILE, 'base', {'slots': 5}, 3, author='bo'),
        )
        failure = refuse(record, propose(PROFILE, 'base', {'slots': 6}, 3))
        assert isinstance(failure, StaleRevision)
        assert failure.current_revision == 4
        assert failure.changes[0].author == 'bo'
        assert failure.changes[0].fields[0].after == 5
        assert 'read the subject again' in failure.way_out

    def test_change_of_another_subject_is_no_conflict(self) -> None:
        """Concurrent writes to different subjects do not conflict."""
        record = accept(
            case_configuration(),
            propose(PROFILE, 'other', {'slots': 5}, 3, author='bo'),
            propose(PROFILE, 'base', {'slots': 6}, 3),
        )
        assert record.revision == 5

    def test_base_above_the_stored_revision(self) -> None:
        """A base above the stored revision shows that the store lost writes."""
        failure = refuse(
            case_configuration(),
            propose(PROFILE, 'base', {'slots': 6}, 9),
        )
        assert failure == StoreBehind(3, 9)

    def test_creation_on_a_base_older_than_the_retained_changes(self) -> None:
        """It could recreate a subject deleted since, so it is stale."""
        full = case_configuration()
        short = HeadRecord(full.configuration, full.recent[2:])
        failure = refuse(short, propose(PROFILE, 'new', {}, 1))
        assert isinstance(failure, StaleRevision)


class TestIdempotency:
    """Repeated writes."""

    def test_known_write_id_changes_nothing(self) -> None:
        """A repeated write returns the revision of the accepted one."""
        write = propose(PROFILE, 'base', {'slots': 5}, 3, write_id='w')
        record = accept(case_configuration(), write)
        again = decide(record, write, POLICIES, at=2).unwrap()
        assert again.record is record
        assert again.revision == 4

    def test_write_id_of_another_subject(self) -> None:
        """A write id can't be reused for a different subject."""
        record = accept(
            case_configuration(),
            propose(PROFILE, 'base', {'slots': 5}, 3, write_id='w'),
        )
        other = propose(PROFILE, 'filings', {'slots': 5}, 4, write_id='w')
        assert refuse(record, other) == WriteIdTaken('w', 4)


class TestExistence:
    """Existence checks of creation, edit and deletion."""

    def test_creation_of_an_existing_profile(self) -> None:
        """A creation never overwrites."""
        write = propose(PROFILE, 'base', {}, 3, action=Action.CREATE)
        failure = refuse(case_configuration(), write)
        assert isinstance(failure, AlreadyExists)
        assert failure.way_out.startswith('edit profile/base')

    def test_edit_of_a_missing_profile(self) -> None:
        """An edit never creates."""
        write = propose(PROFILE, 'none', {}, 3, action=Action.EDIT)
        assert isinstance(refuse(case_configuration(), write), NotFound)

    @pytest.mark.parametrize(
        ('name', 'services', 'children'),
        [
            ('base', (), ('filings',)),
            ('filings', ('case-registry',), ()),
        ],
    )
    def test_deletion_in_use(
        self,
        name: str,
        services: tuple[str, ...],
        children: tuple[str, ...],
    ) -> None:
        """Deleting a profile with dependents is rejected and lists them."""
        failure = refuse(case_configuration(), propose(PROFILE, name, None, 3))
        assert isinstance(failure, InUse)
        assert (failure.services, failure.children) == (services, children)

    def test_unused_profile_is_deleted(self) -> None:
        """Its author can delete it without declaring a revert."""
        record = accept(
            case_configuration(),
            propose(PROFILE, 'spare', {'slots': 1}, 3),
            propose(PROFILE, 'spare', None, 4),
        )
        assert record.recent[-1].action is Action.DELETE
        assert 'profile/spare' not in record.configuration.entities_by_subject


class TestValidation:
    """Validation of the resulting configuration."""

    def test_all_problems_at_once(self) -> None:
        """Every problem is listed, each with a way out."""
        fields = {
            'parent': 'none',
            'slots': 0,
            'queue_bytes': 'many',
            'shares': {'lookup': 0.9, 'bulk-upload': 0.9},
            'colour': 'green',
            'dispatch_policy': 'random',
            'rank_rules': [],
        }
        failure = refuse(
            case_configuration(), propose(PROFILE, 'Bad', fields, 3)
        )
        assert isinstance(failure, Invalid)
        found = {problem.field: problem.kind for problem in failure.problems}
        assert found == {
            '': 'bad-name',
            'parent': 'unknown-parent',
            'slots': 'out-of-range',
            'queue_bytes': 'wrong-type',
            'shares': 'out-of-range',
            'colour': 'unknown-field',
            'dispatch_policy': 'out-of-range',
            'rank_rules': 'out-of-range',
        }
        assert all(problem.way_out for problem in failure.problems)

    def test_parent_cycle(self) -> None:
        """A profile can't inherit from its descendant."""
        failure = refuse(
            case_configuration(),
            propose(PROFILE, 'base', {'parent': 'filings'}, 3),
        )
        assert isinstance(failure, Invalid)
        kinds = {problem.kind for problem in failure.problems}
        assert kinds == {'parent-cycle'}

    @pytest.mark.parametrize(
        ('kind', 'fields', 'problem'),
        [
            (SERVICE, {'profile': 'none'}, 'unknown-profile'),
            (SERVICE, {'profile': 'base', 'x': 1}, 'unknown-field'),
            (SubjectKind.OPERATOR, {'roles': []}, 'missing-field'),
            (
                SubjectKind.OPERATOR,
                {'roles': ['root'], 'secret_hash': 'h'},
                'wrong-type',
            ),
        ],
    )
    def test_other_subjects(
        self,
        kind: SubjectKind,
        fields: dict[str, Any],
        problem: str,
    ) -> None:
        """Services and operators are validated too."""
        failure = refuse(case_configuration(), propose(kind, 'new', fields, 3))
        assert isinstance(failure, Invalid)
        assert [found.kind for found in failure.problems] == [problem]
