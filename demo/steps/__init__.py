"""Steps of the demo, which run in the order of these imports."""

# isort: off
from demo.steps._serving import serve_everything
from demo.steps._three_ranks import send_all_ranks
from demo.steps._lost_owner import kill_owner
from demo.steps._lost_entry import kill_entry
from demo.steps._frozen_server import freeze_server
from demo.steps._store_down import take_store_down
from demo.steps._leaving_server import move_key
from demo.steps._racing_operators import race_operators
from demo.steps._graceful_stop import stop_entry
from demo.steps._audit import compare
from demo.steps._timeline import merge_time_line
from demo.steps._platform import serve_on_platform
# isort: on

__all__ = (
    'compare',
    'freeze_server',
    'kill_entry',
    'kill_owner',
    'merge_time_line',
    'move_key',
    'race_operators',
    'send_all_ranks',
    'serve_everything',
    'serve_on_platform',
    'stop_entry',
    'take_store_down',
)
