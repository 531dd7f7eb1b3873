"""Tests that the operators' page on settings matches the code."""

from dataclasses import MISSING, fields
from pathlib import Path
from typing import get_type_hints

import pytest

from carobwalk.settings import Settings
from carobwalk.settings._allowed import describe_allowed

DOCS = Path(__file__).parents[2] / 'docs'
PAGE = DOCS / 'operators' / 'settings.md'
SECTIONS = get_type_hints(Settings)


def _cells_by_field(section: str) -> dict[str, list[str]]:
    """Return the other cells of a section's table by field name."""
    text = PAGE.read_text().split(f'\n## {section}')[1].split('\n## ')[0]
    lines = [line for line in text.split('\n') if line.startswith('| `')]
    rows = [[cell.strip() for cell in line.split('|')[1:-1]] for line in lines]
    return {row[0].strip('`'): row[1:] for row in rows}


@pytest.mark.parametrize('section', sorted(SECTIONS))
class TestPage:
    def test_fields(self, section: str) -> None:
        """The page lists exactly the fields of each section, in order."""
        known = [member.name for member in fields(SECTIONS[section])]
        assert list(_cells_by_field(section)) == known

    def test_ranges(self, section: str) -> None:
        """The page states the defaults and ranges of numeric fields."""
        hints = get_type_hints(SECTIONS[section], include_extras=True)
        for member in fields(SECTIONS[section]):
            cells = _cells_by_field(section)[member.name]
            allowed = describe_allowed(hints[member.name], member.name)
            if member.default is MISSING or ' from ' not in allowed:
                continue
            assert float(cells[0]) == member.default
            assert cells[1].startswith(allowed.split(' from ')[1])
