"""Links, commands and names on the pages."""

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
_MAKE = re.compile(r'\bmake ([a-z][a-z-]*)')
_RULE = re.compile(r'^([a-z][a-z-]*):', re.MULTILINE)
_INCLUDE = re.compile(r'^include (\S+)$', re.MULTILINE)
_CELL_END = re.compile(r'(?<!\\)\|')
_TERM = re.compile(r'^\| [^|]+ \| `([^`]+)` \|', re.MULTILINE)
_HEADING = re.compile(r'^#+ (.+)$', re.MULTILINE)


def _anchors(page: Path) -> set[str]:
    titles = _HEADING.findall(page.read_text())
    return {
        re.sub(r'[^\w -]', '', title).strip().lower().replace(' ', '-')
        for title in titles
    }


def _fault(page: Path, link: str) -> str | None:
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
        faults = [_fault(page, link) for link in links]
        assert not list(filter(None, faults))


class TestTables:
    """Tables of the pages."""

    @pytest.mark.parametrize('page', PAGES, ids=lambda page: page.name)
    def test_rows_have_one_width(self, page: Path) -> None:
        """All rows of a table have as many cells as its head."""
        faults: list[str] = []
        cells = 0
        for line in page.read_text().splitlines():
            found = len(_CELL_END.findall(line)) if line[:1] == '|' else 0
            if found and cells and found != cells:
                faults.append(line)
            cells = found
        assert not faults


class TestReadme:
    """Commands of the README."""

    def test_make_targets_exist(self) -> None:
        """Each Make target that the README names is a rule."""
        makefile = (ROOT / 'Makefile').read_text()
        rules = set(_RULE.findall(makefile))
        for name in _INCLUDE.findall(makefile):
            rules.update(_RULE.findall((ROOT / name).read_text()))
        named = set(_MAKE.findall((ROOT / 'README.md').read_text()))
        assert {'demo', 'test', 'bench', 'report'} <= named
        assert not named - rules


class TestGlossary:
    """The glossary's names of the code."""

    def test_names_are_in_the_source(self) -> None:
        """Each name of the code column is found in src."""
        glossary = (ROOT / 'docs' / 'glossary.md').read_text()
        source = '\n'.join(
            path.read_text() for path in (ROOT / 'src').rglob('*.py')
        )
        terms = _TERM.findall(glossary)
        assert len(terms) > 30
        missing = [
            term
            for term in terms
            if not re.search(rf'\b{re.escape(term)}\b', source)
        ]
        assert not missing
