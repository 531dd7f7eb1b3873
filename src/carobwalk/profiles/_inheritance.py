"""Inheritance between profiles."""

from collections.abc import Iterator

from carobwalk.profiles._configuration import Configuration
from carobwalk.profiles._entity import Entity, Fields
from carobwalk.profiles._subject import Subject, SubjectKind

PARENT_FIELD = 'parent'


def inheritance_chain(
    configuration: Configuration, name: str
) -> Iterator[Entity]:
    """Yield a profile and its ancestors, nearest first.

    Stops at a missing parent, and before a profile that would repeat.
    """
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
    """Return the name of a profile's parent, ``None`` if it has none."""
    parent = entity.fields.get(PARENT_FIELD)
    return parent if isinstance(parent, str) else None


def has_cycle(configuration: Configuration, name: str) -> bool:
    """Return whether a profile inherits from itself."""
    ancestors = [
        parent_of(entity) for entity in inheritance_chain(configuration, name)
    ]
    return name in ancestors


def inherited_fields(configuration: Configuration, name: str) -> Fields:
    """Return own and inherited fields; the nearest profile takes precedence."""
    fields: dict[str, object] = {}
    for entity in inheritance_chain(configuration, name):
        fields = {**entity.fields, **fields}
    fields.pop(PARENT_FIELD, None)
    return fields
