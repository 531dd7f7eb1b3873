"""Runs of the binary with an empty environment."""

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
class Place:
    """Directory that runs unpack to and write in."""

    path: Path

    @property
    def environment(self) -> Mapping[str, str]:
        """The whole environment of a run."""
        return {'CAROBWALK_UNPACK_DIR': str(self.path)}

    @property
    def unpacked(self) -> Path:
        """Directory that the binary has unpacked to."""
        return next(self.path.glob('carobwalk-*'))

    def folder(self, name: str) -> 'Place':
        """Return a new place within this one."""
        path = self.path / name
        path.mkdir()
        return Place(path)

    def run(self, *arguments: str) -> int:
        """Run the binary to its end; return its exit code."""
        with self.started(str(BINARY), *arguments) as process:
            return process.wait()

    @contextmanager
    def started(self, *command: str) -> Iterator[Process]:
        """Start a command, and end it by its own id."""
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
