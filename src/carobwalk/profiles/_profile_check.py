"""Validation of profiles."""

from collections.abc import Iterator

import msgspec

from carobwalk.profiles._configuration import Configuration
from carobwalk.profiles._entity import Entity, FieldValue
from carobwalk.profiles._field_rules import rule_of
from carobwalk.profiles._inheritance import PARENT_FIELD, has_cycle, parent_of
from carobwalk.profiles._policies import Policies
from carobwalk.profiles._problem import Problem, ProblemKind
from carobwalk.profiles._resolution import TYPES_BY_FIELD, convert_field
from carobwalk.profiles._subject import Subject, SubjectKind


def is_profile(configuration: Configuration, name: object) -> bool:
    """Return whether a value is the name of an existing profile."""
    if not isinstance(name, str):
        return False
    return configuration.find(Subject(SubjectKind.PROFILE, name)) is not None


class ProfileCheck:
    """Validates profiles.

    Args:
        configuration: Configuration in which parents are looked up.
        policies: Registered policy names that fields may refer to.
    """

    def __init__(
        self,
        configuration: Configuration,
        policies: Policies,
    ) -> None:
        self._configuration = configuration
        self._policies = policies

    def check(self, subject: Subject, entity: Entity) -> Iterator[Problem]:
        """Yield the validation problems of one profile."""
        for field, value in sorted(entity.fields.items()):
            if field == PARENT_FIELD:
                yield from self._check_parent(subject, entity)
            elif field in TYPES_BY_FIELD:
                yield from self._check_field(subject, field, value)
            else:
                listed = ', '.join(sorted(TYPES_BY_FIELD))
                yield Problem(
                    subject,
                    field,
                    ProblemKind.UNKNOWN_FIELD,
                    f'a profile has no field {field}',
                    f'one of {listed}',
                )

    def _check_parent(
        self,
        subject: Subject,
        entity: Entity,
    ) -> Iterator[Problem]:
        parent = parent_of(entity)
        if not is_profile(self._configuration, parent):
            yield Problem(
                subject,
                PARENT_FIELD,
                ProblemKind.UNKNOWN_PARENT,
                f'there is no profile {entity.fields[PARENT_FIELD]!r}',
                'the name of one existing profile',
            )
        elif has_cycle(self._configuration, subject.name):
            yield Problem(
                subject,
                PARENT_FIELD,
                ProblemKind.PARENT_CYCLE,
                f'{subject.name} would inherit from itself',
                'a parent that does not inherit from this profile',
            )

    def _check_field(
        self,
        subject: Subject,
        field: str,
        value: FieldValue,
    ) -> Iterator[Problem]:
        try:
            converted = convert_field(field, value)
        except msgspec.ValidationError as error:
            yield Problem(
                subject,
                field,
                ProblemKind.WRONG_TYPE,
                str(error),
                f'a value of the type of {field}',
            )
            return
        rule = rule_of(field)
        way_out = rule(converted) if rule else None
        way_out = way_out or self._policies.check(field, converted)
        if way_out is not None:
            yield Problem(
                subject,
                field,
                ProblemKind.OUT_OF_RANGE,
                f'{value!r} is not accepted',
                way_out,
            )
