"""Builds the single-file binary: a launcher with the program bundle appended.

Usage: python packaging/build.py, in the environment of requirements.lock and
with gcc installed. The result is dist/carobwalk.
"""

import hashlib
import os
import shutil
import stat
import struct
import subprocess
import sys
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Final

PROGRAM: Final = 'carobwalk'
ROOT: Final = Path(__file__).resolve().parent.parent
PACKAGING: Final = ROOT / 'packaging'
BUILD: Final = ROOT / 'build' / 'binary'
DIST: Final = ROOT / 'dist'
MAGIC: Final = b'carobwalk-bundle'
EXECUTABLE_MODE: Final = 0o755
DIGEST_BYTES: Final = 16
ENTRY_HEADER: Final = struct.Struct('=QII')
TRAILER: Final = struct.Struct('=QQ32s16s')

# Sources, headers and texts in packages that are not needed at run time.
UNUSED_SUFFIXES: Final = frozenset(
    ('.cpp', '.c', '.h', '.pyx', '.pxd', '.pyi', '.md', '.txt'),
)

# Modules of build and test tools and for interactive use.
UNUSED_MODULES: Final = (
    '_pytest',
    'cffi',
    'distutils',
    'hypothesis',
    'jinja2',
    'pkg_resources',
    'pycparser',
    'pydoc_data',
    'pygments',
    'pytest',
    'readline',
    'setuptools',
    'tkinter',
)


@dataclass(frozen=True, slots=True)
class BundledFile:
    """File in the bundle.

    Args:
        path: Path relative to the root of the bundle.
        content: Bytes of the file.
        mode: Permission bits of the owner.
    """

    path: str
    content: bytes
    mode: int

    def encode(self) -> bytes:
        """Return the header, path and content in the format of the launcher."""
        path = self.path.encode()
        header = ENTRY_HEADER.pack(len(self.content), self.mode, len(path))
        return b''.join((header, path, self.content))


class BuildError(Exception):
    """The binary cannot be built."""


def main() -> None:
    """Build dist/carobwalk, which is then the only file in dist."""
    shutil.rmtree(BUILD, ignore_errors=True)
    shutil.rmtree(DIST, ignore_errors=True)
    bundle = bundle_program()
    files = list(read_bundle(bundle))
    check_modules(bundle)
    launcher = compile_launcher()
    DIST.mkdir()
    target = DIST / PROGRAM
    target.write_bytes(assemble_binary(launcher.read_bytes(), files))
    target.chmod(EXECUTABLE_MODE)
    size = target.stat().st_size
    sys.stdout.write(f'{target}: {size} bytes, {len(files)} files\n')


def bundle_program() -> Path:
    """Run PyInstaller; return the directory with the bundled program."""
    options = (
        '--noconfirm',
        '--log-level=WARN',
        '--onedir',
        '--strip',
        f'--name={PROGRAM}',
        f'--distpath={BUILD}',
        f'--workpath={BUILD / "work"}',
        f'--specpath={BUILD}',
        f'--collect-submodules={PROGRAM}',
        f'--collect-data={PROGRAM}',
        '--collect-data=capnp',
        '--hidden-import=capnp.lib.capnp',
        '--copy-metadata=opentelemetry-api',
        '--copy-metadata=opentelemetry-sdk',
    )
    excluded = [f'--exclude-module={module}' for module in UNUSED_MODULES]
    command = [sys.executable, '-m', 'PyInstaller', *options, *excluded]
    subprocess.run(
        [*command, str(PACKAGING / 'entry_point.py')],
        check=True,
        env={**os.environ, 'PYTHONPATH': str(ROOT / 'src')},
    )
    return BUILD / PROGRAM


def read_bundle(bundle: Path) -> Iterator[BundledFile]:
    """Yield the files that the program needs, sorted by path."""
    for path in sorted(bundle.rglob('*')):
        if path.is_file() and path.suffix not in UNUSED_SUFFIXES:
            name = str(path.relative_to(bundle))
            mode = stat.S_IMODE(path.stat().st_mode) & stat.S_IRWXU
            yield BundledFile(name, path.read_bytes(), mode)


def check_modules(bundle: Path) -> None:
    """Check that the bundle contains every module and schema in src.

    Raises:
        BuildError: If a module or a schema is missing.
    """
    contents = (BUILD / 'work' / PROGRAM / 'PYZ-00.toc').read_text()
    for path in sorted((ROOT / 'src').rglob('*.py')):
        parts = path.relative_to(ROOT / 'src').with_suffix('').parts
        module = '.'.join(part for part in parts if part != '__init__')
        if parts[-1] != '__main__' and f"'{module}'" not in contents:
            raise BuildError(f'module {module} is not in the bundle')
    for path in sorted((ROOT / 'src').rglob('*.capnp')):
        name = path.relative_to(ROOT / 'src')
        if not (bundle / '_internal' / name).is_file():
            raise BuildError(f'schema {name} is not in the bundle')


def compile_launcher() -> Path:
    """Compile the launcher; return the path of the executable."""
    target = BUILD / 'launcher'
    options = ('-O2', '-s', '-std=c11', '-Wall', '-Wextra', '-Werror')
    source = str(PACKAGING / 'launcher.c')
    command = [os.environ.get('CC', 'gcc'), *options]
    subprocess.run([*command, source, '-o', str(target)], check=True)
    return target


def assemble_binary(launcher: bytes, files: list[BundledFile]) -> bytes:
    """Return the binary: the launcher, then the entries, then the trailer."""
    entries = b''.join(file.encode() for file in files)
    digest = (
        hashlib.blake2b(entries, digest_size=DIGEST_BYTES).hexdigest().encode()
    )
    trailer = TRAILER.pack(len(launcher), len(files), digest, MAGIC)
    return b''.join((launcher, entries, trailer))


if __name__ == '__main__':
    main()
