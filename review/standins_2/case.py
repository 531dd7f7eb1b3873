"""Frame of a script: sets up, runs, ends all processes, tells the result."""

import asyncio
import os
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path

from review.standins_2.record import Record
from review.standins_2.router import Router

HELD = 0
BROKEN = 1
NOT_RUN = 2
_LONGEST_SECONDS = 110


class CannotRun(Exception):
    """The case could not be brought about."""


def has_trouble() -> bool:
    """Whether the disruption is to be brought about."""
    return os.environ.get('TROUBLE', '1') != '0'


def run_case(
    folder: Path,
    play: Callable[[Record, list[Router]], Awaitable[int]],
) -> None:
    """Run a case and exit with its result.

    Args:
        folder: Folder of the case.
        play: Plays the case and returns the result; it adds the processes
            that it starts to the list.
    """
    record = Record(folder / 'record.txt')
    routers: list[Router] = []

    async def run() -> int:
        try:
            async with asyncio.timeout(_LONGEST_SECONDS):
                return await play(record, routers)
        except (CannotRun, TimeoutError) as error:
            record.write(f'could not run: {error!r}')
            return NOT_RUN
        finally:
            for router in routers:
                await router.end()

    result = asyncio.run(run())
    record.write(f'result {result}')
    sys.stdout.flush()
    os._exit(result)


def configuration(
    *rules: dict[str, object],
    clusters: tuple[dict[str, object], ...],
    version: int = 1,
    max_body_bytes: int = 67_108_864,
) -> dict[str, object]:
    """Return a configuration with one host, ``case.example``."""
    return {
        'version': f'r{version}',
        'limits': {
            'max_header_bytes': 16_384,
            'max_body_bytes': max_body_bytes,
            'header_timeout_s': 3,
            'idle_timeout_s': 15,
        },
        'listeners': [{'host': 'case.example', 'rule_set': list(rules)}],
        'clusters': list(clusters),
    }


def rule(
    name: str,
    kind: str,
    service: str,
    *,
    timeout: float = 1.5,
    max_attempts: int = 2,
) -> dict[str, object]:
    """Return a rule with the prefix ``/NAME/``."""
    return {
        'name': name,
        'kind': kind,
        'target_latency_s': min(0.3, timeout),
        'priority': 0,
        'match': {'prefix': f'/{name}/'},
        'action': {
            'service': service,
            'timeout_s': timeout,
            'max_attempts': max_attempts,
        },
    }


def cluster(name: str, *, is_keyed: bool = False) -> dict[str, object]:
    """Return a service."""
    return {
        'name': name,
        'health_path': '/health',
        'max_conns': 130,
        'protocol': 'h1',
        'tls': False,
        'sharded': is_keyed,
    }
