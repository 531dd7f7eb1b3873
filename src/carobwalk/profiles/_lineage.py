"""Inheritance between profiles."""

from collections.abc import Iterator

from carobwalk.profiles._configuration import Configuration
from carobwalk.profiles._entity import Entity, Fields
from carobwalk.profiles._subject import Subject, SubjectKind

PARENT_FIELD = 'parent'


def lineage(configuration: Configuration, name: str) -> Iterator[Entity]:
    """Yield a profile and its ancestors, nearest first; a cycle ends it."""
    seen: set[str] = set()
    current: str | None = name
    while current is not None and current not in seen:
        seen.add(current)
        entity = configuration.find(Subject(SubjectKind.PROFILE, current))
        if entity is None:
            return
        yield entity
        current = parent_of(entity)


def parent_of(entity: Entity) -> str | None:
    """Return the name of a profile's parent, if it names one."""
    parent = entity.fields.get(PARENT_FIELD)
    return parent if isinstance(parent, str) else None


def has_cycle(configuration: Configuration, name: str) -> bool:
    """Return whether a profile is its own ancestor."""
    ancestors = [parent_of(entity) for entity in lineage(configuration, name)]
    return name in ancestors


def inherited_fields(configuration: Configuration, name: str) -> Fields:
    """Return the set fields of a profile and its ancestors, nearest first."""
    fields: dict[str, object] = {}
    for entity in lineage(configuration, name):
        fields = {**entity.fields, **fields}
    fields.pop(PARENT_FIELD, None)
    return fields
