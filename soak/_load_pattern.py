"""Keys that callers ask for: a hot range that shifts, and others."""

import random
from typing import Final

from soak._observed_servers import HOT_KEYS_BY_SAMPLE_KEY, SAMPLE_KEYS

_HOT_SHARE: Final = 0.85


class LoadPattern:
    """Chooses the keys of lookups.

    The load is even until the first shift. Hot keys are close to one another.
    """

    def __init__(self) -> None:
        self.hot_keys: tuple[int, ...] = ()

    def shift(self, rng: random.Random) -> None:
        """Make another range hot."""
        self.hot_keys = HOT_KEYS_BY_SAMPLE_KEY[rng.choice(SAMPLE_KEYS)]

    def choose(self, rng: random.Random) -> int:
        """Return the key of the next lookup."""
        if self.hot_keys and rng.random() < _HOT_SHARE:
            return rng.choice(self.hot_keys)
        return rng.choice(SAMPLE_KEYS)
