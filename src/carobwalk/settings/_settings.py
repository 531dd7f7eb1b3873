"""All settings of a process."""

from dataclasses import dataclass, field

from carobwalk.settings._administration import Administration
from carobwalk.settings._limits import Limits
from carobwalk.settings._listen import Listen
from carobwalk.settings._log import Log
from carobwalk.settings._ownership import Ownership
from carobwalk.settings._platform import Platform
from carobwalk.settings._process import Process


@dataclass(frozen=True, slots=True, kw_only=True)
class Settings:
    """Validated settings of one process.

    Args:
        process: Identity and location of the process.
        listen: Addresses that the process listens on.
        platform: Addresses and timeouts of the platform's services.
        log: Destination and threshold of the event log.
        limits: Limits on the resources that callers can use.
        ownership: Durations of heartbeats, leases and grants.
        administration: Access to the administration before any operator is
            configured.
    """

    process: Process
    listen: Listen
    platform: Platform
    log: Log = field(default_factory=Log)
    limits: Limits = field(default_factory=Limits)
    ownership: Ownership = field(default_factory=Ownership)
    administration: Administration = field(default_factory=Administration)
