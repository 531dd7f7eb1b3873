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
        process: Identity and place.
        listen: Addresses that the process listens on.
        platform: The platform's services.
        log: Where events are written.
        limits: Bounds on memory, connections and waits.
        ownership: Times of leases and grants.
        administration: Access of the first operator.
    """

    process: Process
    listen: Listen
    platform: Platform
    log: Log = field(default_factory=Log)
    limits: Limits = field(default_factory=Limits)
    ownership: Ownership = field(default_factory=Ownership)
    administration: Administration = field(default_factory=Administration)
