"""Runs of the binary with a minimal environment."""

import os
import subprocess
from collections.abc import Iterator, Mapping
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Final

ROOT: Final = Path(__file__).resolve().parents[2]
BINARY: Final = ROOT / 'dist' / 'carobwalk'

Process = subprocess.Popen[bytes]


@dataclass(frozen=True, slots=True)
class WorkDirectory:
    """Directory that the binary unpacks to and that its runs write to."""

    path: Path

    @property
    def environment(self) -> Mapping[str, str]:
        """The complete environment of a run."""
        return {'CAROBWALK_UNPACK_DIR': str(self.path)}

    @property
    def unpacked(self) -> Path:
        """Directory of the unpacked files."""
        return next(self.path.glob('carobwalk-*'))

    def subdirectory(self, name: str) -> 'WorkDirectory':
        """Create and return a directory within this one."""
        path = self.path / name
        path.mkdir()
        return WorkDirectory(path)

    def run(self, *arguments: str) -> int:
        """Run the binary until it exits; return its exit code."""
        with self.running(str(BINARY), *arguments) as process:
            return process.wait()

    @contextmanager
    def running(self, *command: str) -> Iterator[Process]:
        """Start a command and kill it when the block ends."""
        process = subprocess.Popen(
            command,
            cwd=os.sep,
            env=self.environment,
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
        )
        try:
            yield process
        finally:
            process.kill()
            process.wait()
