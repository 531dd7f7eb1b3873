"""Reload of the settings of a running process."""

from pathlib import Path

from result import Err

from carobwalk.app._build_gateway import retry_rules
from carobwalk.app._gateway_events import SettingsReloaded
from carobwalk.app._settings_file import SettingsFile
from carobwalk.events import EventLog
from carobwalk.gateway import RepeatBudgets


class SettingsReloader:
    """Applies changed retry bounds of the settings file.

    Other settings take effect only at a restart.

    Args:
        path: Path of the settings file.
        retry_budgets: Retry budgets that the bounds are applied to.
        events: Event log.
    """

    def __init__(
        self,
        path: Path,
        retry_budgets: RepeatBudgets,
        events: EventLog,
    ) -> None:
        self._file = SettingsFile(path)
        self._retry_budgets = retry_budgets
        self._events = events

    def reload_if_changed(self) -> None:
        """Reload the settings if the file was modified."""
        if self._file.has_changed():
            self.reload()

    def reload(self) -> None:
        """Reload the settings; keep the previous ones if they are invalid."""
        loaded = self._file.read()
        if isinstance(loaded, Err):
            detail = str(loaded.err_value)
            self._events.emit(SettingsReloaded(is_valid=False, detail=detail))
            return
        bounds = loaded.ok_value.bounds
        self._retry_budgets.follow(retry_rules(bounds))
        self._events.emit(SettingsReloaded(is_valid=True, detail=str(bounds)))
