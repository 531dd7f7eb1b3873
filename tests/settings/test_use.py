"""Tests that every setting is used."""

import ast
from dataclasses import fields
from pathlib import Path
from typing import get_type_hints

import pytest

from carobwalk import app
from carobwalk.settings import Settings

SECTIONS = get_type_hints(Settings)


def _accessed_attributes() -> set[str]:
    """Return the names of all attributes that the ``app`` package uses."""
    folder = Path(app.__file__).parent
    trees = [ast.parse(path.read_text()) for path in folder.rglob('*.py')]
    return {
        node.attr
        for tree in trees
        for node in ast.walk(tree)
        if isinstance(node, ast.Attribute)
    }


class TestUse:
    @pytest.mark.parametrize('section', sorted(SECTIONS))
    def test_every_setting_is_read(self, section: str) -> None:
        """The ``app`` package reads every field of each section."""
        names = {member.name for member in fields(SECTIONS[section])}
        assert names - _accessed_attributes() == set()
