"""Stored state of one subject."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, TypeAlias

# A value of JSON. ``None`` stands for a field that is not set.
FieldValue: TypeAlias = Any
Fields: TypeAlias = Mapping[str, FieldValue]


@dataclass(frozen=True, slots=True)
class Entity:
    """Fields that an operator set, and the write that last touched them.

    Args:
        fields: Set fields only; a profile inherits the others.
        revision: Revision of the configuration that last changed the entity.
        write_id: Identity of that write.
    """

    fields: Fields
    revision: int
    write_id: str
