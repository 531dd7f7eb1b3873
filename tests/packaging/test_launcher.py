"""Tests of the launcher of the single-file binary, with a small bundle."""

import os
import stat
import subprocess
import sys
from collections.abc import Callable
from importlib import util
from pathlib import Path
from types import ModuleType

import pytest

PACKAGING = Path(__file__).parents[2] / 'packaging'
PROGRAM = b'#!/bin/sh\necho "$$ $(cat "${0%/*}/deep/er/data") $*"\nexit 7\n'
DATA = b'content ' * 20_000
UNUSABLE = 126

Launch = Callable[..., 'subprocess.Popen[str]']


def _load_build() -> ModuleType:
    """Return the build module, which is not in a package."""
    path = PACKAGING / 'build.py'
    spec = util.spec_from_file_location('binary_build', path)
    assert spec
    assert spec.loader is not None
    module = util.module_from_spec(spec)
    sys.modules[spec.name] = module
    spec.loader.exec_module(module)
    return module


@pytest.fixture(scope='module')
def binary(tmp_path_factory: pytest.TempPathFactory) -> Path:
    """Launcher whose bundle contains a shell script and a data file."""
    build = _load_build()
    folder = tmp_path_factory.mktemp('binary')
    build.BUILD = folder
    launcher = build.compile_launcher()
    files = [
        build.BundledFile('carobwalk', PROGRAM, 0o700),
        build.BundledFile('deep/er/data', DATA, 0o600),
    ]
    target = folder / 'joined'
    target.write_bytes(build.assemble_binary(launcher.read_bytes(), files))
    target.chmod(0o755)
    return target


@pytest.fixture
def launch(binary: Path, tmp_path: Path) -> Launch:
    """Function that starts the binary with an unpack directory of the test."""

    def start(
        *arguments: str,
        program: Path = binary,
    ) -> 'subprocess.Popen[str]':
        return subprocess.Popen(
            [program, *arguments],
            env={'CAROBWALK_UNPACK_DIR': str(tmp_path), 'PATH': os.defpath},
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
        )

    return start


def _check_run(process: 'subprocess.Popen[str]', arguments: str) -> None:
    """Check that the program ran to its end in the process of the launcher."""
    output, errors = process.communicate(timeout=20)
    assert (process.returncode, errors) == (7, '')
    content = DATA.decode()
    assert output == f'{process.pid} {content} {arguments}\n'


def _only_entry(directory: Path) -> Path:
    roots = list(directory.iterdir())
    assert len(roots) == 1
    return roots[0]


class TestLauncher:
    """Unpacking of the bundle and start of the program."""

    def test_execs_program(self, launch: Launch) -> None:
        """The program runs with its arguments under the launcher's id."""
        _check_run(launch('serve', 'a file'), 'serve a file')

    def test_second_start(self, launch: Launch, tmp_path: Path) -> None:
        """A second start uses the files of the first one."""
        _check_run(launch(), '')
        data = _only_entry(tmp_path) / 'deep' / 'er' / 'data'
        first = data.stat().st_ino
        _check_run(launch(), '')
        assert data.stat().st_ino == first

    def test_repair(self, launch: Launch, tmp_path: Path) -> None:
        """Missing and short files are unpacked again."""
        _check_run(launch(), '')
        root = _only_entry(tmp_path)
        (root / 'carobwalk').unlink()
        (root / 'deep' / 'er' / 'data').write_bytes(DATA[:-1])
        _check_run(launch(), '')

    def test_concurrent_starts(self, launch: Launch, tmp_path: Path) -> None:
        """Processes that start together all run; no temporary file is left."""
        processes = [launch() for _ in range(12)]
        for process in processes:
            _check_run(process, '')
        files = [path for path in tmp_path.rglob('*') if path.is_file()]
        assert sorted(path.name for path in files) == ['carobwalk', 'data']

    def test_permissions(self, launch: Launch, tmp_path: Path) -> None:
        """Unpacked files are accessible only to their user."""
        _check_run(launch(), '')
        others = stat.S_IRWXG | stat.S_IRWXO
        for path in tmp_path.rglob('*'):
            assert path.stat().st_mode & others == 0

    def test_directory_writable_by_others(
        self, launch: Launch, tmp_path: Path
    ) -> None:
        """A directory that others can write to is refused."""
        _check_run(launch(), '')
        _only_entry(tmp_path).chmod(0o770)
        process = launch()
        _, errors = process.communicate(timeout=20)
        assert process.returncode == UNUSABLE
        assert 'is not a directory of this user alone' in errors

    def test_symbolic_link(self, launch: Launch, tmp_path: Path) -> None:
        """A symbolic link in place of the directory is refused."""
        _check_run(launch(), '')
        root = _only_entry(tmp_path)
        target = root.rename(tmp_path / 'elsewhere')
        root.symlink_to(target)
        process = launch()
        process.communicate(timeout=20)
        assert process.returncode == UNUSABLE

    @pytest.mark.parametrize('kept', [0.2, 0.9, 0.9999])
    def test_truncated(
        self,
        launch: Launch,
        binary: Path,
        tmp_path_factory: pytest.TempPathFactory,
        kept: float,
    ) -> None:
        """A truncated binary exits with an error before it runs a program."""
        content = binary.read_bytes()
        cut = tmp_path_factory.mktemp('cut') / 'cut'
        cut.write_bytes(content[: int(len(content) * kept)])
        cut.chmod(0o755)
        process = launch(program=cut)
        _, errors = process.communicate(timeout=20)
        assert process.returncode == UNUSABLE
        assert 'the binary is damaged' in errors
