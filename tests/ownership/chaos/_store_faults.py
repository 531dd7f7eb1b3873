"""Faults of the store and of the way to it."""

from standins.memory_store import StoreFaults
from tests.ownership.chaos._chaos import FAULTS, Chaos


def _break_store(chaos: Chaos, faults: StoreFaults, length: float) -> None:
    fleet = chaos.fleet
    fleet.inject(faults)
    chaos.call_later(length, lambda: fleet.inject(StoreFaults()))


@FAULTS.add
def store_down(chaos: Chaos, length: float) -> None:
    """Refuse all calls to the store."""
    _break_store(chaos, StoreFaults(down=True), length)


@FAULTS.add
def store_slow(chaos: Chaos, length: float) -> None:
    """Make the store slow."""
    _break_store(chaos, StoreFaults(delay=0.5), length)


@FAULTS.add
def store_loses_replies(chaos: Chaos, length: float) -> None:
    """Lose the replies to two writes, then refuse all calls."""
    _break_store(chaos, StoreFaults(lost_replies=2), length)
    outage = StoreFaults(down=True)
    chaos.call_later(length, lambda: _break_store(chaos, outage, length))


@FAULTS.add
def store_holds_writes(chaos: Chaos, length: float) -> None:
    """Let writes take effect long after their callers timed out."""
    fleet = chaos.fleet
    _break_store(chaos, StoreFaults(holds_writes=True), length)

    def release() -> None:
        for process in fleet.processes.values():
            process.store.client.release_held()

    chaos.call_later(length * (1 + chaos.random.random()), release)


@FAULTS.add
def cut_store(chaos: Chaos, length: float) -> None:
    """Partition one coordinator from the store."""
    client = chaos.fleet.processes[chaos.any_coordinator()].store.client
    timeout = chaos.fleet.shape.store_timeout
    client.inject(StoreFaults(down=True, timeout=timeout))
    chaos.call_later(
        length, lambda: client.inject(StoreFaults(timeout=timeout))
    )
