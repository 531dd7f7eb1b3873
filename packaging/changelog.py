"""Writes the fragments of changelog.d into CHANGELOG.md."""

from pathlib import Path
from typing import Final

ROOT: Final = Path(__file__).parent.parent
UNRELEASED_HEADING: Final = '## Unreleased'
_TITLE: Final = '# Changelog'
_SECTION_SEPARATOR: Final = '\n## '
_BULLET: Final = '- '
_CONTINUATION: Final = '\n  '


def read_entries(fragments: Path) -> list[str]:
    """Return the entries of all fragments, sorted by file name.

    A fragment without bullets becomes one bullet; wrapped lines are indented.

    Args:
        fragments: Directory of the fragments.
    """
    found: list[str] = []
    for path in sorted(fragments.glob('*.md')):
        text = path.read_text().strip()
        is_list = text.startswith(_BULLET)
        entry = text if is_list else f'{_BULLET}{text}'
        found.append(
            entry.replace('\n', _CONTINUATION).replace(
                f'{_CONTINUATION}-', '\n-'
            )
        )
    return found


def update_changelog(old: str, fragments: Path) -> str:
    """Return the changelog with its unreleased section rewritten.

    Args:
        old: Present text of the changelog; its released sections are kept.
        fragments: Directory of the fragments of the unreleased section.
    """
    released = [
        section.strip()
        for section in old.split(_SECTION_SEPARATOR)[1:]
        if not UNRELEASED_HEADING.endswith(section.splitlines()[0])
    ]
    parts = [_TITLE, '', UNRELEASED_HEADING, '', *read_entries(fragments)]
    for section in released:
        parts.extend(('', f'## {section}'))
    return '\n'.join((*parts, ''))


def main() -> None:
    """Rewrite the unreleased section of CHANGELOG.md."""
    changelog = ROOT / 'CHANGELOG.md'
    changelog.write_text(
        update_changelog(changelog.read_text(), ROOT / 'changelog.d')
    )


if __name__ == '__main__':
    main()
