"""Active revision of every known process."""

from dataclasses import dataclass

from carobwalk.model import DataCentreName, ProcessId


@dataclass(frozen=True, slots=True)
class ProcessStatus:
    """Revision in force at one process.

    Args:
        process: The process.
        data_centre: Where it is.
        revision: Revision in force; ``None`` if the process did not answer.
        detail: Why it did not answer; empty if it did.
    """

    process: ProcessId
    data_centre: DataCentreName
    revision: int | None
    detail: str = ''


@dataclass(frozen=True, slots=True)
class FleetStatus:
    """Active revision of each known process.

    Args:
        revision: Highest revision known to be accepted.
        processes: All known processes, sorted by name.
    """

    revision: int
    processes: tuple[ProcessStatus, ...]

    def lagging(self, revision: int) -> tuple[ProcessStatus, ...]:
        """Return the processes below a revision or without an answer."""
        return tuple(
            process
            for process in self.processes
            if process.revision is None or process.revision < revision
        )
