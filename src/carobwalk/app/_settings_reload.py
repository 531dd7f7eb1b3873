"""Settings that a running process takes in."""

from pathlib import Path

from result import Err

from carobwalk.app._build_gateway import repeat_rules
from carobwalk.app._gateway_events import SettingsReloaded
from carobwalk.app._settings_file import SettingsFile
from carobwalk.events import EventLog
from carobwalk.gateway import RetryBudgets


class SettingsReload:
    """Follows the bounds in the settings file.

    Args:
        path: The settings file.
        budgets: Limits repeats by the bounds.
        events: Log of events.
    """

    def __init__(
        self,
        path: Path,
        budgets: RetryBudgets,
        events: EventLog,
    ) -> None:
        self._file = SettingsFile(path)
        self._budgets = budgets
        self._events = events

    def run_if_changed(self) -> None:
        """Read the settings again if the file was written."""
        if self._file.has_changed():
            self.run()

    def run(self) -> None:
        """Read the settings again and follow the bounds in them."""
        loaded = self._file.read()
        if isinstance(loaded, Err):
            detail = str(loaded.err_value)
            self._events.emit(SettingsReloaded(is_valid=False, detail=detail))
            return
        bounds = loaded.ok_value.bounds
        self._budgets.apply_rules(repeat_rules(bounds))
        self._events.emit(SettingsReloaded(is_valid=True, detail=str(bounds)))
