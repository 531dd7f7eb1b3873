"""The settings file, which may change with and without a signal."""

from pathlib import Path

from result import Result

from carobwalk.settings import (
    GatewaySettings,
    SettingsErrors,
    load_gateway_settings,
)


class SettingsFile:
    """A settings file and the time of its last known change.

    Args:
        path: Name of the file.
    """

    def __init__(self, path: Path) -> None:
        self._path = path
        self._changed_at = self._modified()

    def has_changed(self) -> bool:
        """Return whether the file has changed since it was read."""
        return self._modified() != self._changed_at

    def read(self) -> Result[GatewaySettings, SettingsErrors]:
        """Return the settings, or all errors of the file."""
        self._changed_at = self._modified()
        return load_gateway_settings(self._path)

    def _modified(self) -> int:
        """Return the time of the last change in nanoseconds, 0 for none."""
        try:
            return self._path.stat().st_mtime_ns
        except OSError:
            return 0  # Being replaced just now; the next look finds it.
