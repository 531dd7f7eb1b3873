"""Stand-in for a backend server."""

from standins.backend._download import (
    BLOCK_BYTES,
    download_block,
    download_parts,
)
from standins.backend._fault import Fault
from standins.backend._load_reporter import LoadReport
from standins.backend._run_log import read_run_log
from standins.backend._run_record import RunRecord
from standins.backend._run_state import RunState
from standins.backend._serve import serve_backend, serve_connection
from standins.backend._settings import BackendSettings
from standins.backend._state import BackendState, make_state

__all__ = (
    'BLOCK_BYTES',
    'BackendSettings',
    'BackendState',
    'Fault',
    'LoadReport',
    'RunRecord',
    'RunState',
    'download_block',
    'download_parts',
    'make_state',
    'read_run_log',
    'serve_backend',
    'serve_connection',
)
