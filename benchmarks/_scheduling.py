"""Repeatable order of tasks."""

import importlib


def make_scheduling_repeatable(seed: int) -> None:
    """Let trio choose the order of tasks by a seed.

    The same seed then gives the same run, also in another process.
    """
    scheduler = vars(importlib.import_module('trio._core._run'))
    scheduler['_ALLOW_DETERMINISTIC_SCHEDULING'] = True
    scheduler['_r'].seed(seed)
