"""Faults of backend servers and of the list that names them."""

from tests.ownership.chaos._chaos import FAULTS, Chaos
from tests.ownership.chaos._servers import start_server, stop_server


@FAULTS.add
def crash_server(chaos: Chaos, length: float) -> None:
    """Crash a server; it starts again with empty memory."""
    name = chaos.any_server()
    stop_server(chaos.fleet, name)
    chaos.call_later(length, lambda: start_server(chaos.fleet, name))


@FAULTS.add
def replace_server(chaos: Chaos, length: float) -> None:
    """Crash a server and take it off the list until it starts again."""
    name = chaos.any_server()
    stop_server(chaos.fleet, name)
    chaos.fleet.host_list.remove(name)
    chaos.call_later(length, lambda: start_server(chaos.fleet, name))


@FAULTS.add
def restart_server(chaos: Chaos, length: float) -> None:
    """Restart a server at once."""
    name = chaos.any_server()
    stop_server(chaos.fleet, name)
    start_server(chaos.fleet, name)


@FAULTS.add
def freeze_server(chaos: Chaos, length: float) -> None:
    """Freeze a server; it resumes with its memory intact."""
    name = chaos.any_server()
    chaos.fleet.network.freeze(name)
    chaos.call_later(length, lambda: chaos.fleet.network.thaw(name))


@FAULTS.add
def drain_server(chaos: Chaos, length: float) -> None:
    """Let a server report temporarily that it is leaving."""
    table = chaos.fleet.servers[chaos.any_server()].table
    table.leaving = True

    def end() -> None:
        table.leaving = False

    chaos.call_later(length, end)


@FAULTS.add
def lag_host_list(chaos: Chaos, length: float) -> None:
    """Serve an outdated host list."""
    host_list = chaos.fleet.host_list
    host_list.lag = chaos.random.choice((1, 5))

    def end() -> None:
        host_list.lag = 0

    chaos.call_later(length, end)
