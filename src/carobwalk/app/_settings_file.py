"""Settings file with change detection."""

from pathlib import Path

from result import Result

from carobwalk.settings import (
    GatewaySettings,
    SettingsErrors,
    load_gateway_settings,
)


class SettingsFile:
    """Settings file that may be replaced while the process runs.

    Changes are detected by the modification time.

    Args:
        path: Path of the file.
    """

    def __init__(self, path: Path) -> None:
        self._path = path
        self._last_modified_ns = self._modification_time_ns()

    def has_changed(self) -> bool:
        """Return whether the file was modified since the last read."""
        return self._modification_time_ns() != self._last_modified_ns

    def read(self) -> Result[GatewaySettings, SettingsErrors]:
        """Read the file and return its settings, or all errors in it."""
        self._last_modified_ns = self._modification_time_ns()
        return load_gateway_settings(self._path)

    def _modification_time_ns(self) -> int:
        """Return the modification time in ns, or 0 if there is no file."""
        try:
            return self._path.stat().st_mtime_ns
        except OSError:
            return 0  # Missing while it is replaced; the next check finds it.
