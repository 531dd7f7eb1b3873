"""Exchange of the configuration between two processes."""

from result import Err, Ok, Result

from carobwalk.model import Endpoint, ProcessId
from carobwalk.peer import PeerFailure, Topic
from carobwalk.profiles._codec import RecordError, decode
from carobwalk.profiles._configuration import Configuration
from carobwalk.profiles.spread._events import (
    ConfigurationDamaged,
    ConfigurationInForce,
)
from carobwalk.profiles.spread._follower_parts import FollowerParts
from carobwalk.profiles.spread._held_configuration import HeldConfiguration
from carobwalk.profiles.spread._peer_state import (
    PeerState,
    PeerStateError,
    decode_state,
    encode_state,
)

EXCHANGE_TOPIC = Topic('configuration.exchange')


class PeerExchange:
    """Passes the configuration to peers, and takes it from them.

    Args:
        parts: Parts of the process.
        held: Configuration that the process holds.
    """

    def __init__(self, parts: FollowerParts, held: HeldConfiguration) -> None:
        self._parts = parts
        self._held = held
        self._revisions_by_process: dict[str, int] = {}
        parts.topics.register(EXCHANGE_TOPIC, self.answer)

    def known_revision(self, peer: Endpoint) -> int:
        """Return the highest revision that a peer is known to hold."""
        return self._revisions_by_process.get(peer.name, 0)

    async def answer(self, sender: ProcessId, payload: bytes) -> bytes:
        """Take a peer's state and answer with that of this process.

        Raises:
            PeerStateError: If the payload can't be read.
        """
        state = decode_state(payload)
        self._take(sender, state)
        behind = state.revision < self._held.revision
        wanted = state.wants_content and behind
        return encode_state(self._state(with_content=wanted))

    async def exchange(self, peer: Endpoint) -> Result[int, PeerFailure]:
        """Bring a peer and this process to the higher of their revisions.

        Returns:
            The peer's revision.
        """
        answered = await self.ask(peer, wants_content=True)
        if isinstance(answered, Err):
            return answered
        if answered.ok_value >= self._held.revision:
            return answered
        state = self._state(with_content=True)
        return await self._ask(peer, state)

    async def ask(
        self,
        peer: Endpoint,
        *,
        wants_content: bool,
    ) -> Result[int, PeerFailure]:
        """Ask a peer for its revision, and its content if that is newer."""
        state = self._state(with_content=False, wants_content=wants_content)
        return await self._ask(peer, state)

    async def _ask(
        self,
        peer: Endpoint,
        state: PeerState,
    ) -> Result[int, PeerFailure]:
        answered = await self._parts.peers.ask(
            peer,
            EXCHANGE_TOPIC,
            encode_state(state),
            self._parts.settings.ask_timeout,
        )
        if isinstance(answered, Err):
            return answered
        try:
            answer = decode_state(answered.ok_value)
        except PeerStateError as error:
            return Err(PeerFailure(delivered=True, detail=str(error)))
        self._take(ProcessId(peer.name), answer)
        return Ok(answer.revision)

    def _state(
        self,
        *,
        with_content: bool,
        wants_content: bool = False,
    ) -> PeerState:
        held = self._held
        return PeerState(
            held.revision,
            held.heard,
            wants_content,
            held.content if with_content else b'',
        )

    def _take(self, sender: ProcessId, state: PeerState) -> None:
        # The latest statement counts: a process that was started again holds
        # less than it said before.
        self._revisions_by_process[sender] = state.revision
        self._held.hear(max(state.heard, state.revision))
        if not state.content:
            return
        try:
            configuration = decode(state.content, Configuration)
        except RecordError as error:
            self._parts.events.emit(ConfigurationDamaged(sender, str(error)))
            return
        self.accept(configuration, sender)

    def accept(self, configuration: Configuration, source: str) -> None:
        """Put a configuration in force if it is newer than the present one.

        Args:
            configuration: A configuration that the store accepted.
            source: Where it came from, for the log.
        """
        try:
            is_newer = self._held.offer(configuration)
        except RecordError as error:
            self._parts.events.emit(ConfigurationDamaged(source, str(error)))
            return
        if is_newer and self._held.joined:
            revision = configuration.revision
            self._parts.events.emit(ConfigurationInForce(revision, source))
