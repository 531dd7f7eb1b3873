"""The setting that switches off choices by the load of all processes."""

from pathlib import Path

import pytest
import trio

from carobwalk.app._build_keyspace import _fleet_load, build_local_load
from carobwalk.app._gateway_core import GatewayCore, build_gateway_core
from carobwalk.app._load_instruments import register_load_digest
from carobwalk.gateway import Locality, SampledChoice, ServerCost
from carobwalk.keyspace._load_report import LoadReport
from carobwalk.model import Address, ProcessId
from carobwalk.settings import load_gateway_settings
from standins.platform import RouterAddresses, fill_settings
from tests.keyspace.simulated_fleet import make_server

_UNUSED = Address('127.0.0.1', 1)


def _core(path: Path, choice: str) -> GatewayCore:
    addresses = RouterAddresses(
        callers=_UNUSED,
        readiness=_UNUSED,
        peers=_UNUSED,
        metrics=_UNUSED,
        store=_UNUSED,
    )
    text = fill_settings('p1', addresses).rstrip()
    path.write_text(f'{text[:-1]} {choice} }}')
    return build_gateway_core(load_gateway_settings(path).ok_value)


class TestSetting:
    @pytest.mark.parametrize(
        ('choice', 'is_on'),
        [
            ('', True),
            ('choice: {},', True),
            ('choice: { shared_load: false },', False),
        ],
    )
    def test_switch(self, tmp_path: Path, choice: str, is_on: bool) -> None:
        """Shared load is on by default and can be switched off."""

        async def main() -> None:
            core = _core(tmp_path / 'settings.json5', choice)
            assert build_local_load(core).is_shared == is_on
            assert (_fleet_load(core) is not None) == is_on

        trio.run(main)

    def test_metrics(self, tmp_path: Path) -> None:
        """The age of the digest has no value until there is one."""

        async def main() -> None:
            core = _core(tmp_path / 'settings.json5', '')
            loads = build_local_load(core).loads
            locality = Locality(core.settings.process.data_centre, {})
            sampled = SampledChoice(
                loads.shared, ServerCost(loads, locality), locality, bool
            )
            register_load_digest(core.metrics, loads.shared, sampled)
            age = b'carobwalk_load_digest_age_seconds'
            assert age not in core.metrics.render()
            assert loads.shared.apply(b'\x01')
            rendered = core.metrics.render()
            assert age in rendered
            assert b'carobwalk_load_digest_choices_total' in rendered
            assert b'carobwalk_load_digest_servers' in rendered

        trio.run(main)

    def test_estimates(self, tmp_path: Path) -> None:
        """The coordinator's metrics hold the estimate of each server."""

        async def main() -> None:
            core = _core(tmp_path / 'settings.json5', '')
            core.directory.put(make_server(7), 1)
            fleet = _fleet_load(core)
            fleet.clear()
            await trio.sleep(0.3)
            fleet.add(ProcessId('p1'), LoadReport(()))
            rendered = core.metrics.render()
            assert b'carobwalk_backend_service_time_seconds{' in rendered
            assert b'carobwalk_backend_in_flight{' in rendered
            assert b'server="s7"' in rendered

        trio.run(main)
