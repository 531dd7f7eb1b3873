"""Tests of the shared components of a gateway process."""

from pathlib import Path

import trio
from result import Err

from carobwalk.app._gateway_core import build_gateway_core
from carobwalk.http import HttpRequest
from carobwalk.model import Address
from carobwalk.settings import load_gateway_settings
from standins.platform import RouterAddresses, fill_settings
from tests.http.raw_server import Ending, RawServer, Script

_UNUSED = Address('127.0.0.1', 1)
# Only a failure lasts so long.
_TIMEOUT_SECONDS = 20


def _write_settings(path: Path) -> None:
    addresses = RouterAddresses(
        callers=_UNUSED,
        readiness=_UNUSED,
        peers=_UNUSED,
        metrics=_UNUSED,
        store=_UNUSED,
    )
    path.write_text(fill_settings('p1', addresses))


class TestGrantClient:
    def test_endless_answer(self, tmp_path: Path) -> None:
        """Little is read of an endless answer to a grant."""
        # Guards against holding 16 MiB for each backend server that does so.
        path = tmp_path / 'settings.json5'
        _write_settings(path)
        core = build_gateway_core(load_gateway_settings(path).ok_value)
        body = b'x' * 65_536
        server = RawServer(
            Script(b'HTTP/1.1 200 OK\r\n\r\n', Ending.REPEAT, body),
        )

        async def main() -> None:
            async with trio.open_nursery() as nursery:
                await server.start(nursery)
                sent = await core.grant_client.send(
                    Address('127.0.0.1', server.port),
                    HttpRequest('POST', '/grant'),
                    _TIMEOUT_SECONDS,
                )
                assert isinstance(sent, Err)
                assert '16384 bytes' in sent.err_value.detail
                nursery.cancel_scope.cancel()

        trio.run(main)
