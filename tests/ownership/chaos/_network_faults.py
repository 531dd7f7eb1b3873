"""Faults of the messages between processes and servers."""

from standins.memory_store import StoreFaults
from tests.ownership.chaos._chaos import FAULTS, Chaos


@FAULTS.add
def cut_links(chaos: Chaos, length: float) -> None:
    """Drop messages between one process and others in either direction."""
    fleet = chaos.fleet
    name = chaos.any_coordinator()
    parties = sorted((*fleet.processes, *fleet.servers))
    count = chaos.random.randint(1, len(parties))
    others = chaos.random.sample(parties, count)
    inward = [(other, name) for other in others]
    outward = [(name, other) for other in others]
    pairs = chaos.random.choice((inward, outward, inward + outward))
    fleet.network.cuts.update(pairs)
    chaos.call_later(
        length, lambda: fleet.network.cuts.difference_update(pairs)
    )


@FAULTS.add
def lose_packets(chaos: Chaos, length: float) -> None:
    """Drop a share of all messages."""
    network = chaos.fleet.network
    network.loss = chaos.random.choice((0.05, 0.2, 0.5))

    def end() -> None:
        network.loss = 0

    chaos.call_later(length, end)


@FAULTS.add
def slow_packets(chaos: Chaos, length: float) -> None:
    """Delay a share of all messages, so that messages are reordered."""
    network = chaos.fleet.network
    network.slow_share = chaos.random.choice((0.05, 0.3))
    network.slow_delay = chaos.random.choice((0.2, 1, 3))

    def end() -> None:
        network.slow_share = 0

    chaos.call_later(length, end)


@FAULTS.add
def partition_with_server(chaos: Chaos, length: float) -> None:
    """Partition a coordinator and a server, with or without the store."""
    fleet = chaos.fleet
    name = chaos.any_coordinator()
    group = {name, chaos.any_server()}
    rest = {*fleet.processes, *fleet.servers} - group
    pairs = {(one, other) for one in group for other in rest}
    pairs |= {(other, one) for one, other in pairs}
    timeout = fleet.shape.store_timeout
    client = fleet.processes[name].store.client
    if chaos.random.choice((True, True, False)):
        client.inject(StoreFaults(down=True, timeout=timeout))
    lead = chaos.random.choice((0, 0.8))
    chaos.call_later(lead, lambda: fleet.network.cuts.update(pairs))

    def end() -> None:
        fleet.network.cuts.difference_update(pairs)
        client.inject(StoreFaults(timeout=timeout))

    chaos.call_later(lead + length, end)
