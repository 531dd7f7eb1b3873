"""Settings files from the deployment's template."""

import json
import re
from collections.abc import Collection, Mapping
from dataclasses import dataclass
from pathlib import Path
from types import MappingProxyType
from typing import Final

from carobwalk.model import Address

_TEMPLATE = Path(__file__).parent.parent.parent / 'deploy/settings.json5'
_SECTION: Final = re.compile(r'{{#([a-z_.]+)}}(.*?){{/\1}}', re.DOTALL)
_NO_OPTIONS: Final[Mapping[str, object]] = MappingProxyType({})


@dataclass(frozen=True, slots=True, kw_only=True)
class RouterAddresses:
    """Addresses of one router process.

    Args:
        callers: Listens for callers.
        readiness: Serves readiness checks of the load balancer.
        peers: Listens for other processes.
        metrics: Serves metrics.
        store: Address of the key-value service.
    """

    callers: Address
    readiness: Address
    peers: Address
    metrics: Address
    store: Address


def fill_settings(
    name: str,
    addresses: RouterAddresses,
    options: Mapping[str, object] = _NO_OPTIONS,
) -> str:
    """Return the settings of a process, filled into the template.

    Args:
        name: Name of the process.
        addresses: Its addresses and that of the store.
        options: Values of fields that the platform may leave out.
    """
    fields: dict[str, object] = {
        **options,
        'node_name': name,
        'region': 'r1',
        'zone': 'dc1',
        'zones': {'dc1': 'r1'},
        'listen.frontend': str(addresses.callers),
        'listen.ready': str(addresses.readiness),
        'platform.address': str(addresses.store),
        'platform.min_ttl_s': 1,
        'limits.memory_mb': 300,
        'limits.max_fds': 4096,
        'limits.cpu_share': 1,
        'limits.cores': 1,
        'limits.link_mbps': 1000.0,
        'bounds.drain_s': 2,
        'bounds.config_apply_s': 2,
        'bounds.grace_s': 6,
        'bounds.retry_budget_ratio': 0.2,
        'bounds.retry_slack': 64,
        'bounds.retry_window_s': 10,
        'bounds.max_hold_s': 10,
    }
    text = _render_sections(_TEMPLATE.read_text(), fields)
    for field, content in fields.items():
        text = text.replace(f'{{{{{field}|json}}}}', json.dumps(content))
    text = text.replace('{{ip}}:{{internal_ports.0}}', str(addresses.peers))
    return text.replace('{{ip}}:9464', str(addresses.metrics))


def _render_sections(text: str, fields: Collection[str]) -> str:
    """Return a template with the sections of the given fields only."""
    return _SECTION.sub(
        lambda section: section[2] if section[1] in fields else '', text
    )
