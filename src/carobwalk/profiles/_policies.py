"""Names of policies that profiles may hold."""

from collections.abc import Mapping
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Policies:
    """Names that the registries of policies know.

    Args:
        names_by_field: Known names by the field that holds one; any name is
            accepted for a field that is not listed.
    """

    names_by_field: Mapping[str, frozenset[str]] = field(default_factory=dict)

    def check(self, field_name: str, value: object) -> str | None:
        """Return what would be accepted, or nothing for a known name."""
        names = self.names_by_field.get(field_name)
        if names is None or value in names:
            return None
        listed = ', '.join(sorted(names))
        return f'one of {listed}'
