"""Registered policy names that profile fields may refer to."""

from collections.abc import Mapping
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Policies:
    """Policy names that validation accepts.

    Args:
        names_by_field: Registered names, keyed by the profile field that
            refers to them; a field that is missing here accepts any value.
    """

    names_by_field: Mapping[str, frozenset[str]] = field(default_factory=dict)

    def check(self, field_name: str, value: object) -> str | None:
        """Check a field's value against the registered names.

        Returns:
            Description of the accepted values; ``None`` if the value is
            accepted.
        """
        names = self.names_by_field.get(field_name)
        if names is None or value in names:
            return None
        listed = ', '.join(sorted(names))
        return f'one of {listed}'
