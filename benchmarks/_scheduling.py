"""Deterministic scheduling of tasks."""

import importlib


def make_scheduling_repeatable(seed: int) -> None:
    """Make trio choose the order of runnable tasks from a seed.

    Runs with the same seed are then equal, also in different processes.
    """
    scheduler = vars(importlib.import_module('trio._core._run'))
    scheduler['_ALLOW_DETERMINISTIC_SCHEDULING'] = True
    scheduler['_r'].seed(seed)
