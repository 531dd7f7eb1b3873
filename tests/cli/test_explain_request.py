"""Tests of the command ``explain-request``."""

from pathlib import Path

import pytest
from click.testing import CliRunner

from carobwalk.cli import main

LOG = """\
  3.1 host-1 process=p1 hlc=1000000.0 wall=x event=RoutesReplaced version=7
process=p2 hlc=2000000.0 wall=x event=OwnerLost server=s1 cause=silent
process=p2 hlc=2100000.0 wall=x event=KeysAssigned service=a first=5 last=9
process=p2 hlc=2200000.0 wall=x event=KeysAssigned service=a first=10 last=20
process=p2 hlc=2300000.0 wall=x event=ServerChanged server=s2
process=p1 hlc=3000000.0 wall=x event=AttemptFailed request=r1 server=s1
process=p1 hlc=3100000.0 wall=x event=RequestAnswered request=r1 service=a \
server=s1 key=7 status=503 sends=1 cause="no owner"
process=p1 hlc=3200000.0 wall=x event=RequestAnswered request=r2 service=a
process=p1 hlc=3300000.0 wall=x event=RequestDropped request=r3 route=a \
cause="the caller left" seconds=0.1
half a lin
"""


@pytest.fixture
def log(tmp_path: Path) -> str:
    """Return the path of a log file."""
    path = tmp_path / 'all.log'
    path.write_text(LOG)
    return str(path)


class TestExplainRequest:
    def test_own_events_and_context(self, log: str) -> None:
        """A request's events precede those of its server, key and process."""
        result = CliRunner().invoke(main, ['explain-request', 'r1', log])
        assert result.exit_code == 0
        own, context = result.output.split('the 5 s before its end')
        assert own.count('request=r1') == 2
        for found in ('RoutesReplaced', 'OwnerLost', 'first=5'):
            assert found in context
        for other in ('first=10', 's2', 'r2'):
            assert other not in result.output
        assert 'status 503 from the gateway: no owner; sent 1 times' in context

    def test_dropped(self, log: str) -> None:
        """A request that was dropped unsent has no status."""
        # Guards against an answer of a server that never got the request.
        result = CliRunner().invoke(main, ['explain-request', 'r3', log])
        assert 'read ahead and never sent: the caller left' in result.output

    def test_unknown(self, log: str) -> None:
        """A request that no log contains results in exit code 5."""
        result = CliRunner().invoke(main, ['explain-request', 'r9', log])
        assert result.exit_code == 5
