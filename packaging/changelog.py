"""Gathers the fragments of changelog.d into CHANGELOG.md."""

from pathlib import Path
from typing import Final

ROOT: Final = Path(__file__).parent.parent
HEADING: Final = '## Unreleased'
_TITLE: Final = '# Changelog'
_NEXT: Final = '\n## '
_BULLET: Final = '- '
_BREAK: Final = '\n  '


def entries(fragments: Path) -> list[str]:
    """Return the entries of a folder, in the order of the file names.

    Args:
        fragments: Folder of the fragments.
    """
    found: list[str] = []
    for path in sorted(fragments.glob('*.md')):
        text = path.read_text().strip()
        is_list = text.startswith(_BULLET)
        whole = text if is_list else f'{_BULLET}{text}'
        found.append(whole.replace('\n', _BREAK).replace(f'{_BREAK}-', '\n-'))
    return found


def gather(old: str, fragments: Path) -> str:
    """Return the changelog with its section of unreleased changes anew.

    Args:
        old: Text of the changelog; its released sections are kept.
        fragments: Folder of the fragments.
    """
    released = [
        section.strip()
        for section in old.split(_NEXT)[1:]
        if not HEADING.endswith(section.splitlines()[0])
    ]
    parts = [_TITLE, '', HEADING, '', *entries(fragments)]
    for section in released:
        parts.extend(('', f'## {section}'))
    return '\n'.join((*parts, ''))


def main() -> None:
    """Rewrite CHANGELOG.md."""
    page = ROOT / 'CHANGELOG.md'
    page.write_text(gather(page.read_text(), ROOT / 'changelog.d'))


if __name__ == '__main__':
    main()
