"""Record that names the coordinator."""

from typing import Final

COORDINATOR_NAME: Final = 'carobwalk/coordinator'
