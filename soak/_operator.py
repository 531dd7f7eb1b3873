"""The operator of the soak, and the look at which configuration is in force."""

import json
from typing import Final

import trio

from soak._caller import Ask, Caller
from soak._ledger import Ledger
from soak._router import Router
from soak._server import KEYED_SERVICE, UNKEYED_SERVICE
from standins.platform import KvStore

_KEY: Final = 'op/config'
_PROBE_SECONDS: Final = 0.1
_NO_ROUTE: Final = 404


class Operator:
    """Writes configurations, each with the routes of all earlier ones.

    Args:
        store: Where it writes.
    """

    def __init__(self, store: KvStore) -> None:
        self.version = 0
        self._store = store

    def write_next(self) -> None:
        """Write the next configuration."""
        self.version += 1
        self.write(self.version)

    def write(self, version: int) -> None:
        """Write a configuration, which may be an old one."""
        content = json.dumps(_configuration(version)).encode()
        self._store.records.put(_KEY, content)


class VersionProbe:
    """Asks one router which configuration is in force.

    Args:
        router: The router.
        operator: Knows the newest version.
        ledger: Takes what is broken.
    """

    def __init__(
        self,
        router: Router,
        operator: Operator,
        ledger: Ledger,
    ) -> None:
        self._router = router
        self._operator = operator
        self._ledger = ledger
        self._caller = Caller(router, ledger)
        self._life = 0
        self._asked = 0
        self.seen = 0

    async def run(self) -> None:
        """Probe until cancelled."""
        while True:
            await trio.sleep(_PROBE_SECONDS)
            await self._probe(self.seen)
            if self._operator.version > self.seen:
                await self._probe(self.seen + 1)

    async def _probe(self, version: int) -> None:
        life = self._router.life
        if life != self._life:
            self._life = life
            self.seen = 0
            return
        self._asked += 1
        request_id = f'probe-{self._router.name}-{self._asked}'
        path = f'/at-least-{version}/x'
        status = await self._caller.ask(Ask(request_id, 'GET', path))
        if not status or self._router.life != life:
            return
        if status != _NO_ROUTE:
            self.seen = max(self.seen, version)
        elif 0 < version <= self.seen:
            detail = f'{self._router.name} had {self.seen}'
            self._ledger.break_promise('the configuration fell', detail)


def _configuration(version: int) -> dict[str, object]:
    rules = [
        _rule('lookups', 'idempotent', KEYED_SERVICE),
        _rule('claims', 'non_idempotent', UNKEYED_SERVICE),
        _rule('uploads', 'upload', UNKEYED_SERVICE),
        *(
            _rule(f'at-least-{number}', 'idempotent', UNKEYED_SERVICE)
            for number in range(1, version + 1)
        ),
    ]
    return {
        'version': f'r{version}',
        'listeners': [{'host': 'demo.example', 'rule_set': rules}],
        'clusters': [
            {'name': KEYED_SERVICE, 'sharded': True},
            {'name': UNKEYED_SERVICE},
        ],
    }


def _rule(name: str, kind: str, service: str) -> dict[str, object]:
    return {
        'name': name,
        'kind': kind,
        'match': {'prefix': f'/{name}/'},
        'action': {'service': service, 'timeout_s': 2, 'max_attempts': 2},
    }
