"""Settings files from the deployment's template."""

import json
import re
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from types import MappingProxyType

from carobwalk.model import Address

_TEMPLATE = Path(__file__).parent.parent.parent / 'deploy/settings.json5'
_SECTION = re.compile(r'\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}', re.DOTALL)


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
    bounds: Mapping[str, float] = MappingProxyType({}),
) -> str:
    """Return the settings of a process, filled into the template.

    Args:
        name: Name of the process.
        addresses: Its addresses and that of the store.
        bounds: Further fields of ``bounds``, which may be absent.
    """
    fields = {
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
        **{f'bounds.{field}': number for field, number in bounds.items()},
    }
    text = _SECTION.sub(
        lambda section: section[2] if section[1] in fields else '',
        _TEMPLATE.read_text(),
    )
    for field, content in fields.items():
        text = text.replace(f'{{{{{field}|json}}}}', json.dumps(content))
    text = text.replace('{{ip}}:{{internal_ports.0}}', str(addresses.peers))
    return text.replace('{{ip}}:9464', str(addresses.metrics))
