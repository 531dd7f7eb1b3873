"""Tests of the probe that checks the active configuration."""

from types import SimpleNamespace

import pytest
import trio

from soak._caller import Ask, Reply
from soak._invariant_checker import InvariantChecker
from soak._operator import VersionProbe

SERVED = Reply(200, is_from_server=True)
SERVER_ERROR = Reply(500, is_from_server=True)
ROUTER_REFUSAL = Reply(503)
NO_ROUTE = Reply(404)


class ScriptedCaller:
    """Returns the replies of a script, one for each request."""

    def __init__(self, replies: list[Reply]) -> None:
        self.replies = list(replies)

    async def send(self, request: Ask) -> Reply:
        """Return the next reply."""
        return self.replies.pop(0)


def _violations_after(replies: list[Reply]) -> list[str]:
    """Return the violations that probes of version 2 with replies report."""
    caller = ScriptedCaller(replies)
    checker = InvariantChecker()
    router = SimpleNamespace(name='router-1', incarnation=0)
    probe = VersionProbe(router, SimpleNamespace(version=2), checker, caller)

    async def body() -> None:
        while caller.replies:
            await probe._probe(2)

    trio.run(body)
    return checker.violations


class TestVersionProbe:
    @pytest.mark.parametrize('seen', [SERVED, SERVER_ERROR])
    def test_fall_is_a_violation(self, seen: Reply) -> None:
        """A route that led to a server must not be missing afterwards."""
        lines = _violations_after([seen, ROUTER_REFUSAL, NO_ROUTE])
        assert len(lines) == 1
        assert 'the configuration fell' in lines[0]

    def test_refusal_shows_no_version(self) -> None:
        """A router without a configuration yet refuses without a route."""
        assert not _violations_after([ROUTER_REFUSAL, NO_ROUTE])
