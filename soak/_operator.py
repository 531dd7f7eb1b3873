"""The operator of the soak, and the probe of the active configuration."""

import json
from typing import Final

import trio

from soak._caller import Ask, Caller
from soak._invariant_checker import InvariantChecker
from soak._router import Router
from soak._server import KEYED_SERVICE, UNKEYED_SERVICE
from standins.platform import KvStore

_KEY: Final = 'op/config'
_PROBE_INTERVAL_SECONDS: Final = 0.1
_NOT_FOUND: Final = 404


class Operator:
    """Writes configurations; each contains the routes of all earlier ones.

    Args:
        store: Store to write to.
    """

    def __init__(self, store: KvStore) -> None:
        self.version = 0
        self._store = store

    def write_next(self) -> None:
        """Write the next configuration."""
        self.version += 1
        self.write(self.version)

    def write(self, version: int) -> None:
        """Write the configuration of a version, which may be an old one."""
        content = json.dumps(_configuration(version)).encode()
        self._store.records.put(_KEY, content)


class VersionProbe:
    """Checks that the active configuration of a router never goes back.

    Version ``n`` is active if the route ``/at-least-n/`` exists. Only a
    response of a backend server shows that: a router without a configuration
    or without a server refuses requests on its own.

    Args:
        router: Router that is probed.
        operator: Source of the newest version.
        checker: Receives violations.
        caller: Sends the probes to the router.
    """

    def __init__(
        self,
        router: Router,
        operator: Operator,
        checker: InvariantChecker,
        caller: Caller,
    ) -> None:
        self._router = router
        self._operator = operator
        self._checker = checker
        self._caller = caller
        self._incarnation = 0
        self._sent_probes = 0
        self.highest_version = 0

    async def run(self) -> None:
        """Probe until cancelled."""
        while True:
            await trio.sleep(_PROBE_INTERVAL_SECONDS)
            await self._probe(self.highest_version)
            if self._operator.version > self.highest_version:
                await self._probe(self.highest_version + 1)

    async def _probe(self, version: int) -> None:
        incarnation = self._router.incarnation
        if incarnation != self._incarnation:
            self._incarnation = incarnation
            self.highest_version = 0
            return
        self._sent_probes += 1
        request_id = f'probe-{self._router.name}-{self._sent_probes}'
        path = f'/at-least-{version}/x'
        reply = await self._caller.send(Ask(request_id, 'GET', path))
        if self._router.incarnation != incarnation:
            return
        if reply.is_from_server:
            self.highest_version = max(self.highest_version, version)
        elif reply.status == _NOT_FOUND and 0 < version <= self.highest_version:
            detail = f'{self._router.name} had {self.highest_version}'
            self._checker.record_violation('the configuration fell', detail)


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
