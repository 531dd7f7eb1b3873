"""Stored state of one configured subject."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, TypeAlias

# A JSON value; ``None`` means that the field is not set.
FieldValue: TypeAlias = Any
Fields: TypeAlias = Mapping[str, FieldValue]


@dataclass(frozen=True, slots=True)
class Entity:
    """Fields that operators set, and the write that last changed them.

    Args:
        fields: Explicitly set fields; a profile inherits the others.
        revision: Revision of the configuration that last changed the entity.
        write_id: Idempotency key of that write.
    """

    fields: Fields
    revision: int
    write_id: str
