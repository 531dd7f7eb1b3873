"""Gathering of the changelog's fragments."""

from importlib import util
from pathlib import Path

_PATH = Path(__file__).parent.parent.parent / 'packaging' / 'changelog.py'
_SPEC = util.spec_from_file_location('changelog', _PATH)
assert _SPEC is not None
assert _SPEC.loader is not None
changelog = util.module_from_spec(_SPEC)
_SPEC.loader.exec_module(changelog)


class TestGather:
    """The section of unreleased changes."""

    def test_order_and_releases(self, tmp_path: Path) -> None:
        """Fragments come in the order of their names; releases are kept."""
        (tmp_path / 'b.md').write_text('- Two.\n- Three.\n')
        (tmp_path / 'a.md').write_text('One\nwhole.\n')
        old = '# Changelog\n\n## Unreleased\n\n- Old.\n\n## 0.1\n\n- First.\n'
        gathered = changelog.gather(old, tmp_path)
        assert gathered == (
            '# Changelog\n\n## Unreleased\n\n'
            '- One\n  whole.\n- Two.\n- Three.\n'
            '\n## 0.1\n\n- First.\n'
        )
        assert changelog.gather(gathered, tmp_path) == gathered
