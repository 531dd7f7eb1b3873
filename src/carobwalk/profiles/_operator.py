"""Operators, their roles and their validation."""

from collections.abc import Iterator
from dataclasses import dataclass
from enum import StrEnum, unique

import msgspec

from carobwalk.model import OperatorName
from carobwalk.profiles._configuration import Configuration
from carobwalk.profiles._entity import Entity
from carobwalk.profiles._problem import Problem, ProblemKind
from carobwalk.profiles._subject import Subject, SubjectKind

SECRET_HASH_FIELD = 'secret_hash'
ROLES_FIELD = 'roles'


@unique
class Role(StrEnum):
    """Rights that a token carries."""

    READ = 'read'
    EDIT = 'edit'
    ASSIGN = 'assign'


@dataclass(frozen=True, slots=True)
class Operator:
    """A person or program that authenticates with a token.

    Args:
        name: Name recorded as the author of changes.
        secret_hash: Argon2 hash of the token's secret.
        roles: Roles that the token grants.
    """

    name: OperatorName
    secret_hash: str
    roles: frozenset[Role]


def find_operator(configuration: Configuration, name: str) -> Operator | None:
    """Return the operator of a name, ``None`` if there is none."""
    entity = configuration.find(Subject(SubjectKind.OPERATOR, name))
    if entity is None:
        return None
    return msgspec.convert({'name': name, **entity.fields}, Operator)


def check_operator(subject: Subject, entity: Entity) -> Iterator[Problem]:
    """Yield the validation problems of an operator's fields."""
    known = {SECRET_HASH_FIELD, ROLES_FIELD}
    for field in sorted(entity.fields.keys() ^ known):
        is_unknown = field not in known
        yield Problem(
            subject,
            field,
            ProblemKind.UNKNOWN_FIELD
            if is_unknown
            else ProblemKind.MISSING_FIELD,
            f'an operator has just the fields {ROLES_FIELD} and a hash',
            f'leave {field} out' if is_unknown else f'set {field}',
        )
    if entity.fields.keys() != known:
        return
    roles = ', '.join(Role)
    try:
        msgspec.convert({'name': subject.name, **entity.fields}, Operator)
    except msgspec.ValidationError as error:
        yield Problem(
            subject,
            ROLES_FIELD,
            ProblemKind.WRONG_TYPE,
            str(error),
            f'a hash, and a list of {roles}',
        )
