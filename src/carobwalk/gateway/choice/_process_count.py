"""Number of processes that share limits."""

from typing import Final

# Used until the coordinator has reported the real number.
INITIAL_PROCESS_COUNT: Final = 12
