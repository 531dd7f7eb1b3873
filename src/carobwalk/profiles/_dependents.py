"""Lookup of the dependents of a profile."""

from carobwalk.profiles._configuration import Configuration
from carobwalk.profiles._failures import InUse
from carobwalk.profiles._inheritance import parent_of
from carobwalk.profiles._resolution import PROFILE_FIELD
from carobwalk.profiles._subject import Subject, SubjectKind


def find_dependents(
    configuration: Configuration, subject: Subject
) -> InUse | None:
    """Return the services and profiles that depend on a profile.

    Returns:
        The dependents; ``None`` if there are none or the subject is no profile.
    """
    if subject.kind is not SubjectKind.PROFILE:
        return None
    services = tuple(
        name
        for name, entity in configuration.of_kind(SubjectKind.SERVICE)
        if entity.fields.get(PROFILE_FIELD) == subject.name
    )
    children = tuple(
        name
        for name, entity in configuration.of_kind(SubjectKind.PROFILE)
        if parent_of(entity) == subject.name
    )
    if services or children:
        return InUse(subject, services, children)
    return None
