"""Large records on their way from a relay to processes with thin links.

Pattern: a configuration grows by 1,600 routes while callers' uploads fill the
links of small machines.
"""

import random

import msgspec
import pytest
import trio

from carobwalk.relay._messages import make_row, read_row
from carobwalk.store import Removed, Versioned
from tests.relay.relay_fleet import BOUND_SECONDS, RelayFleet

_START_SECONDS = 3
_ROUTES = 1600
# What uploads leave of a link of 5 Mbit/s, in bytes a second.
_THIN_LINK = 250_000


def _make_routes() -> bytes:
    generator = random.Random(1)
    routes = [
        {
            'match': {'prefix': f'/{generator.randrange(10**9):x}/'},
            'action': {
                'service': f'service-{generator.randrange(3)}',
                'kind': 'idempotent',
                'timeout_s': 1.5,
                'max_attempts': 3,
                'target_latency_s': 0.5,
                'priority': generator.randrange(3),
            },
        }
        for _ in range(_ROUTES)
    ]
    return msgspec.json.encode(routes)


class TestThinLinks:
    # Guards against requests handled by an old configuration: the answer with
    # the large record was given up after 0.3 s, or when a second relay had told
    # of the change, and the same bytes were asked of the next relay, and at
    # last of the store.
    @pytest.mark.parametrize('regions', [1, 3])
    def test_change_arrives(self, run_scenario, regions: int) -> None:
        """A large record arrives in time, from the relay that is followed."""

        async def scenario(fleet: RelayFleet) -> None:
            fleet.put('a')
            fleet.start_all(regions, 4)
            await trio.sleep(_START_SECONDS)
            fleet.peers.bandwidth = _THIN_LINK
            changes = [
                len(node.log.named('RelayChanged')) for node in fleet.nodes
            ]
            fleet.put('a', _make_routes())
            await fleet.wait_until_known(BOUND_SECONDS)
            assert changes == [
                len(node.log.named('RelayChanged')) for node in fleet.nodes
            ]

        run_scenario(scenario)


class TestCompression:
    def test_round_trip(self) -> None:
        """Rows are read as they were made, large ones in fewer bytes."""
        content = _make_routes()
        row = make_row(Versioned('a', content, 7))
        assert len(row.content or b'') < len(content) / 4
        assert read_row(row) == Versioned('a', content, 7)
        small = Versioned('b', b'x', 8)
        assert read_row(make_row(small)) == small
        assert read_row(make_row(Removed('c', 9))) == Removed('c', 9)

    @pytest.mark.parametrize('kept', [0, 10, 0.5])
    def test_damaged(self, kept: float) -> None:
        """A row that was cut is an error."""
        row = make_row(Versioned('a', _make_routes(), 7))
        packed = row.content or b''
        length = int(kept * len(packed)) if kept < 1 else int(kept)
        with pytest.raises(ValueError, match='compressed'):
            read_row(msgspec.structs.replace(row, content=packed[:length]))
