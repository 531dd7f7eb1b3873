"""Faults of coordinators."""

from tests.ownership.chaos._chaos import FAULTS, Chaos


@FAULTS.add
def freeze_coordinator(chaos: Chaos, length: float) -> None:
    """Freeze a coordinator; it resumes with its memory intact."""
    name = chaos.any_coordinator()
    chaos.fleet.network.freeze(name)
    chaos.call_later(length, lambda: chaos.fleet.network.thaw(name))


@FAULTS.add
def crash_coordinator(chaos: Chaos, length: float) -> None:
    """Crash a coordinator; it starts again with empty memory."""
    name = chaos.any_coordinator()
    if name in chaos.fleet.network.down:
        return
    process = chaos.fleet.processes[name]
    process.crash()

    def start() -> None:
        if name in chaos.fleet.network.down:
            process.restart()

    chaos.call_later(length, start)
