"""Validation of a whole configuration."""

import re
from collections.abc import Callable, Iterator, Mapping
from typing import TypeAlias

from carobwalk.profiles._configuration import Configuration
from carobwalk.profiles._entity import Entity
from carobwalk.profiles._operator import check_operator
from carobwalk.profiles._policies import Policies
from carobwalk.profiles._problem import Problem, ProblemKind
from carobwalk.profiles._profile_check import ProfileCheck, is_profile
from carobwalk.profiles._resolution import PROFILE_FIELD
from carobwalk.profiles._subject import Subject, SubjectKind

_NAME_PATTERN = re.compile('[a-z0-9][a-z0-9_.-]{0,62}')


def validate(
    configuration: Configuration,
    policies: Policies,
) -> tuple[Problem, ...]:
    """Return every validation problem of a configuration.

    Args:
        configuration: Configuration to validate.
        policies: Registered policy names that profile fields may refer to.
    """
    problems: list[Problem] = []
    checks: Mapping[SubjectKind, _Check] = {
        SubjectKind.PROFILE: ProfileCheck(configuration, policies).check,
        SubjectKind.SERVICE: _ServiceCheck(configuration).check,
        SubjectKind.OPERATOR: check_operator,
    }
    for kind, check in checks.items():
        for name, entity in configuration.of_kind(kind):
            subject = Subject(kind, name)
            problems.extend(_check_name(subject))
            problems.extend(check(subject, entity))
    return tuple(problems)


_Check: TypeAlias = Callable[[Subject, Entity], Iterator[Problem]]


def _check_name(subject: Subject) -> Iterator[Problem]:
    if _NAME_PATTERN.fullmatch(subject.name) is None:
        yield Problem(
            subject,
            '',
            ProblemKind.BAD_NAME,
            f'{subject.name!r} is not a name',
            'up to 63 of a-z, 0-9, dot, dash and underscore',
        )


class _ServiceCheck:
    def __init__(self, configuration: Configuration) -> None:
        self._configuration = configuration

    def check(self, subject: Subject, entity: Entity) -> Iterator[Problem]:
        for field in sorted(entity.fields.keys() - {PROFILE_FIELD}):
            yield Problem(
                subject,
                field,
                ProblemKind.UNKNOWN_FIELD,
                f'a service has no field {field}',
                f'only {PROFILE_FIELD}',
            )
        profile = entity.fields.get(PROFILE_FIELD)
        if not is_profile(self._configuration, profile):
            yield Problem(
                subject,
                PROFILE_FIELD,
                ProblemKind.UNKNOWN_PROFILE,
                f'there is no profile {profile!r}',
                'the name of an existing profile',
            )
