"""Settings files of entry processes."""

import msgspec

from carobwalk.model import Address
from standins.fleet._deployment import Deployment
from standins.fleet._entry_process import EntryProcess


def write_settings(
    entry: EntryProcess,
    deployment: Deployment,
    store: Address,
    host_list: Address,
) -> None:
    """Write the settings file of an entry.

    Args:
        entry: The entry.
        deployment: Deployment that it belongs to.
        store: Address of the key-value service.
        host_list: Address of the host list.
    """
    document = {
        'process': {
            'id': entry.name,
            'region': entry.region,
            'data_centre': entry.data_centre,
        },
        'listen': {
            'callers': str(entry.callers),
            'peers': str(entry.peers),
            'administration': str(entry.administration),
        },
        'platform': {
            'store': str(store),
            'host_list': str(host_list),
            'timeout_seconds': 1,
            'host_list_interval_seconds': 0.5,
        },
        'log': {'path': str(entry.events_path)},
        'limits': dict(deployment.limits),
        'ownership': dict(deployment.ownership),
    }
    text = msgspec.json.format(msgspec.json.encode(document)).decode()
    entry.settings_path.write_text(f'// Settings of an entry.\n{text}\n')
