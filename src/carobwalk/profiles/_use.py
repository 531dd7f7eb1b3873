"""Use of profiles by services and other profiles."""

from carobwalk.profiles._configuration import Configuration
from carobwalk.profiles._failures import InUse
from carobwalk.profiles._lineage import parent_of
from carobwalk.profiles._resolution import PROFILE_FIELD
from carobwalk.profiles._subject import Subject, SubjectKind


def find_use(configuration: Configuration, subject: Subject) -> InUse | None:
    """Return what uses a profile; nothing for other subjects."""
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
