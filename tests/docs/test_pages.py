"""Links, tables, Make targets and source names in the documentation."""

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent.parent
PAGES = (
    ROOT / 'README.md',
    ROOT / 'CONTRIBUTING.md',
    *sorted((ROOT / 'docs').rglob('*.md')),
)
_LINK = re.compile(r'\]\(([^)\s]+)\)')
_MAKE_COMMAND = re.compile(r'\bmake ([a-z][a-z-]*)')
_MAKE_RULE = re.compile(r'^([a-z][a-z-]*):', re.MULTILINE)
_MAKE_INCLUDE = re.compile(r'^include (\S+)$', re.MULTILINE)
_CELL_SEPARATOR = re.compile(r'(?<!\\)\|')
_GLOSSARY_NAME = re.compile(r'^\| [^|]+ \| `([^`]+)` \|', re.MULTILINE)
_HEADING = re.compile(r'^#+ (.+)$', re.MULTILINE)


def _anchors(page: Path) -> set[str]:
    titles = _HEADING.findall(page.read_text())
    return {
        re.sub(r'[^\w -]', '', title).strip().lower().replace(' ', '-')
        for title in titles
    }


def _find_error(page: Path, link: str) -> str | None:
    name, _, anchor = link.partition('#')
    target = (page.parent / name).resolve() if name else page
    if not target.is_relative_to(ROOT) or not target.exists():
        return f'{link}: no such file'
    if anchor and anchor not in _anchors(target):
        return f'{link}: no such heading'
    return None


@pytest.mark.parametrize('page', PAGES, ids=lambda page: page.name)
class TestLinks:
    """Links of a page."""

    def test_relative_links_resolve(self, page: Path) -> None:
        """Each relative link names a file, and a heading if it gives one."""
        links = [
            link
            for link in _LINK.findall(page.read_text())
            if '://' not in link
        ]
        errors = [_find_error(page, link) for link in links]
        assert not list(filter(None, errors))


class TestTables:
    """Tables in the documentation."""

    @pytest.mark.parametrize('page', PAGES, ids=lambda page: page.name)
    def test_rows_have_equal_length(self, page: Path) -> None:
        """All rows of a table have as many cells as its header."""
        errors: list[str] = []
        cells = 0
        for line in page.read_text().splitlines():
            found = len(_CELL_SEPARATOR.findall(line)) if line[:1] == '|' else 0
            if found and cells and found != cells:
                errors.append(line)
            cells = found
        assert not errors


class TestReadme:
    """Commands of the README."""

    def test_make_targets_exist(self) -> None:
        """Each Make target that the README names has a rule."""
        makefile = (ROOT / 'Makefile').read_text()
        rules = set(_MAKE_RULE.findall(makefile))
        for name in _MAKE_INCLUDE.findall(makefile):
            rules.update(_MAKE_RULE.findall((ROOT / name).read_text()))
        named = set(_MAKE_COMMAND.findall((ROOT / 'README.md').read_text()))
        assert {'demo', 'test', 'bench', 'report'} <= named
        assert not named - rules


class TestGlossary:
    """Source names in the glossary."""

    def test_names_are_in_the_source(self) -> None:
        """Each name in the source column occurs in src."""
        glossary = (ROOT / 'docs' / 'glossary.md').read_text()
        source = '\n'.join(
            path.read_text() for path in (ROOT / 'src').rglob('*.py')
        )
        names = _GLOSSARY_NAME.findall(glossary)
        assert len(names) > 30
        missing = [
            name
            for name in names
            if not re.search(rf'\b{re.escape(name)}\b', source)
        ]
        assert not missing
