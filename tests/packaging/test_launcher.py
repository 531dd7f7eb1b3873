"""Tests of the launcher of the single-file binary, with a small bundle."""

import errno
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
PROGRAM_STATUS = 7
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
    assert (process.returncode, errors) == (PROGRAM_STATUS, '')
    content = DATA.decode()
    assert output == f'{process.pid} {content} {arguments}\n'


def _image_bytes(binary: Path) -> int:
    """Return the size of the launcher's executable, which comes first."""
    return (binary.parent / 'launcher').stat().st_size


def _write_start(binary: Path, cut: Path, size: int) -> None:
    """Write the first bytes of the binary to an executable file."""
    cut.write_bytes(binary.read_bytes()[:size])
    cut.chmod(0o755)


def _run_damaged(launch: Launch, program: Path) -> str:
    """Check that the program does not succeed; return its output."""
    try:
        process = launch(program=program)
    except OSError as error:
        assert error.errno in {errno.ENOEXEC, errno.EIO}
        return ''
    output, _ = process.communicate(timeout=20)
    assert process.returncode not in {0, PROGRAM_STATUS}
    return output


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

    @pytest.mark.parametrize('kept', [0, 0.0001, 0.2, 0.5, 0.9, 0.9999])
    def test_truncated(
        self,
        launch: Launch,
        binary: Path,
        tmp_path: Path,
        tmp_path_factory: pytest.TempPathFactory,
        kept: float,
    ) -> None:
        """A bundle without its end exits with an error and unpacks nothing."""
        image = _image_bytes(binary)
        bundle = binary.stat().st_size - image
        cut = tmp_path_factory.mktemp('cut') / 'cut'
        _write_start(binary, cut, image + int(bundle * kept))
        process = launch(program=cut)
        output, errors = process.communicate(timeout=20)
        assert (process.returncode, output) == (UNUSABLE, '')
        assert 'the binary is damaged' in errors
        assert not list(tmp_path.iterdir())

    @pytest.mark.parametrize(
        'kept', [0.001, 0.01, 0.1, 0.2, 0.4, 0.6, 0.8, 0.9, 0.99, 0.9999]
    )
    def test_truncated_image(
        self,
        launch: Launch,
        binary: Path,
        tmp_path: Path,
        tmp_path_factory: pytest.TempPathFactory,
        kept: float,
    ) -> None:
        """A launcher without its end fails and unpacks nothing.

        The kernel refuses it, or it ends by a signal or a status of failure;
        most of the cuts end it before its own code runs.
        """
        cut = tmp_path_factory.mktemp('cut') / 'cut'
        _write_start(binary, cut, int(_image_bytes(binary) * kept))
        assert _run_damaged(launch, cut) == ''
        assert not list(tmp_path.iterdir())
