"""The configuration as operators enter it, before resolution."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field

from carobwalk.profiles._entity import Entity
from carobwalk.profiles._subject import Subject, SubjectKind


@dataclass(frozen=True, slots=True)
class Configuration:
    """All entities at one revision, before profiles are resolved.

    Args:
        revision: Number of changes accepted so far.
        entities_by_subject: Entities, keyed by ``str(subject)``.
    """

    revision: int = 0
    entities_by_subject: Mapping[str, Entity] = field(default_factory=dict)

    def find(self, subject: Subject) -> Entity | None:
        """Return the entity of a subject, ``None`` if it does not exist."""
        return self.entities_by_subject.get(str(subject))

    def of_kind(self, kind: SubjectKind) -> Iterator[tuple[str, Entity]]:
        """Yield the names and entities of one kind, sorted by name."""
        prefix = f'{kind.value}/'
        for subject, entity in sorted(self.entities_by_subject.items()):
            if subject.startswith(prefix):
                yield subject.removeprefix(prefix), entity

    def replace(
        self,
        subject: Subject,
        entity: Entity | None,
    ) -> 'Configuration':
        """Return the next revision, with one entity replaced.

        Args:
            subject: Subject whose entity is replaced.
            entity: New state; ``None`` removes the subject.
        """
        entities = dict(self.entities_by_subject)
        entities.pop(str(subject), None)
        if entity is not None:
            entities[str(subject)] = entity
        return Configuration(self.revision + 1, entities)
