"""Differential test of the repository against a sequential model."""

import itertools
import random
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

import trio
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from trio.testing import MockClock

from carobwalk.profiles import (
    Acceptance,
    Configuration,
    ConfigurationFailure,
    ConfigurationRepository,
    HeadRecord,
    OutcomeUnknown,
    Proposal,
    SubjectKind,
    WriteSettings,
)
from standins.memory_store import MemoryStore, StoreFaults
from tests.profiles._proposals import PROFILE, SERVICE, propose
from tests.profiles._reference_model import Fields
from tests.profiles._reference_model import ReferenceModel as _ReferenceModel

_NAMES = ('a', 'b', 'c')
_OPERATORS = ('ana', 'bo', 'cy')

Answer = TypeVar('Answer')

_profile_fields = st.fixed_dictionaries(
    {},
    optional={
        'slots': st.integers(1, 3),
        'keyed': st.booleans(),
        'parent': st.sampled_from(_NAMES),
    },
)
_writes = st.one_of(
    st.tuples(
        st.just(PROFILE),
        st.sampled_from(_NAMES),
        st.none() | _profile_fields,
    ),
    st.tuples(
        st.just(SERVICE),
        st.sampled_from(('s', 't')),
        st.fixed_dictionaries({'profile': st.sampled_from(_NAMES)}),
    ),
)
_faults = st.sampled_from(
    (
        StoreFaults(),
        StoreFaults(),
        StoreFaults(lost_replies=1),
        StoreFaults(lost_replies=2),
        StoreFaults(down=True),
        StoreFaults(holds_writes=True, timeout=0.4),
    )
)


# Hypothesis derives the runs from the source of this class: any edit of it,
# even of a name, chooses other runs.
class ConfigurationMachine(RuleBasedStateMachine):
    """Operators on separate links to one store, compared with the model."""

    def __init__(self) -> None:
        super().__init__()
        self.store = MemoryStore()
        self.links = {name: self.store.client() for name in _OPERATORS}
        self.bases = dict.fromkeys(_OPERATORS, 0)
        self.model = _ReferenceModel()
        self.numbers = itertools.count()
        self.sent: list[Proposal] = []
        self.unresolved: list[Proposal] = []

    @rule(operator=st.sampled_from(_OPERATORS))
    def read(self, operator: str) -> None:
        """An operator reads the configuration."""
        self.bases[operator] = self._configuration().revision

    @rule(
        operator=st.sampled_from(_OPERATORS),
        asked=_writes,
        faults=_faults,
        fresh=st.booleans(),
    )
    def write(
        self,
        operator: str,
        asked: tuple[SubjectKind, str, Fields | None],
        faults: StoreFaults,
        fresh: bool,
    ) -> None:
        """An operator writes while a store fault is active."""
        if fresh:
            self.read(operator)
        kind, name, fields = asked
        proposal = propose(
            kind,
            name,
            fields,
            self.bases[operator],
            author=operator,
            write_id=f'w{next(self.numbers)}',
        )
        self.sent.append(proposal)
        self._send(proposal, faults)

    @rule(number=st.integers(0, 40), faults=_faults)
    def repeat(self, number: int, faults: StoreFaults) -> None:
        """An operator repeats an earlier write with the same id."""
        if self.sent:
            self._send(self.sent[number % len(self.sent)], faults)

    @rule()
    def release(self) -> None:
        """Delayed writes reach the store and take effect if still current."""

        async def main() -> None:
            for link in self.links.values():
                link.release_held()
            await trio.lowlevel.checkpoint()

        _run(main)
        for proposal in self.unresolved:
            change = self._head().find_write(proposal.write_id)
            if change is not None:
                assert self.model.write(proposal) == change.revision
        self.unresolved.clear()

    @invariant()
    def entities_match_the_model(self) -> None:
        """The store and the model hold the same entities."""
        held = {
            subject: dict(entity.fields)
            for subject, entity in (
                self._configuration().entities_by_subject.items()
            )
        }
        expected = {
            f'{kind}/{name}': fields
            for (kind, name), fields in self.model.entities.items()
        }
        assert held == expected

    def _send(self, proposal: Proposal, faults: StoreFaults) -> None:
        link = self.links[str(proposal.author)]
        link.inject(faults)
        answer = self._write(proposal)
        link.inject(StoreFaults())
        if isinstance(answer, OutcomeUnknown):
            self.unresolved.append(proposal)
        elif faults.down:
            assert type(answer).__name__ == 'StoreUnavailable'
        elif isinstance(answer, Acceptance):
            assert self.model.write(proposal) == answer.revision
        else:
            assert self.model.write(proposal) == type(answer).__name__

    def _write(self, proposal: Proposal) -> Acceptance | ConfigurationFailure:
        async def main() -> Acceptance | ConfigurationFailure:
            repository = ConfigurationRepository(
                self.links[str(proposal.author)],
                trio.current_time,
                random.Random(0),
                WriteSettings(timeout=1),
            )
            written = await repository.write(proposal)
            return written.ok_value if written.is_ok() else written.err_value

        return _run(main)

    def _configuration(self) -> Configuration:
        return self._head().configuration

    def _head(self) -> HeadRecord:
        async def main() -> HeadRecord:
            repository = ConfigurationRepository(
                self.links['ana'],
                trio.current_time,
                random.Random(0),
            )
            return (await repository.read()).unwrap()

        return _run(main)


def _run(main: Callable[[], Coroutine[Any, Any, Answer]]) -> Answer:
    return trio.run(main, clock=MockClock(autojump_threshold=0))


TestConfigurationMachine = ConfigurationMachine.TestCase
TestConfigurationMachine.settings = settings(
    max_examples=200,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
