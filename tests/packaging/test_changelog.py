"""Tests of the changelog that is written from fragments."""

from importlib import util
from pathlib import Path

_PATH = Path(__file__).parent.parent.parent / 'packaging' / 'changelog.py'
_SPEC = util.spec_from_file_location('changelog', _PATH)
assert _SPEC is not None
assert _SPEC.loader is not None
changelog = util.module_from_spec(_SPEC)
_SPEC.loader.exec_module(changelog)


class TestUpdateChangelog:
    """Section of unreleased changes."""

    def test_order_and_releases(self, tmp_path: Path) -> None:
        """Fragments are sorted by file name, and released sections are kept."""
        (tmp_path / 'b.md').write_text('- Two.\n- Three.\n')
        (tmp_path / 'a.md').write_text('One\nwhole.\n')
        old = '# Changelog\n\n## Unreleased\n\n- Old.\n\n## 0.1\n\n- First.\n'
        updated = changelog.update_changelog(old, tmp_path)
        assert updated == (
            '# Changelog\n\n## Unreleased\n\n'
            '- One\n  whole.\n- Two.\n- Three.\n'
            '\n## 0.1\n\n- First.\n'
        )
        assert changelog.update_changelog(updated, tmp_path) == updated
