"""Exchange of the configuration with a peer."""

from result import Err, Ok, Result

from carobwalk.model import Endpoint, ProcessId
from carobwalk.peer import PeerFailure, Topic
from carobwalk.profiles._codec import RecordError, decode
from carobwalk.profiles._configuration import Configuration
from carobwalk.profiles.replication._events import (
    ConfigurationDamaged,
    ConfigurationInForce,
)
from carobwalk.profiles.replication._follower_parts import FollowerParts
from carobwalk.profiles.replication._local_configuration import (
    LocalConfiguration,
)
from carobwalk.profiles.replication._peer_state import (
    PeerState,
    PeerStateError,
    decode_state,
    encode_state,
)

EXCHANGE_TOPIC = Topic('configuration.exchange')


class PeerExchange:
    """Sends the configuration to peers and applies what they send.

    Args:
        parts: Dependencies and settings.
        local: Local copy of the configuration.
    """

    def __init__(self, parts: FollowerParts, local: LocalConfiguration) -> None:
        self._parts = parts
        self._local = local
        self._revisions_by_process: dict[str, int] = {}
        parts.topics.register(EXCHANGE_TOPIC, self.handle_exchange)

    def known_revision(self, peer: Endpoint) -> int:
        """Return the revision that a peer last reported; 0 if unknown."""
        return self._revisions_by_process.get(peer.name, 0)

    async def handle_exchange(self, sender: ProcessId, payload: bytes) -> bytes:
        """Apply a peer's state and return the state of this process.

        Args:
            sender: The peer.
            payload: Encoded state of the peer.

        Raises:
            PeerStateError: If the payload can't be decoded.
        """
        state = decode_state(payload)
        self._apply_state(sender, state)
        behind = state.revision < self._local.revision
        with_content = state.wants_content and behind
        return encode_state(self._build_state(with_content=with_content))

    async def synchronise(self, peer: Endpoint) -> Result[int, PeerFailure]:
        """Bring this process and a peer to the newer of their revisions.

        Returns:
            The revision that the peer reported last.
        """
        response = await self.request_state(peer, wants_content=True)
        if isinstance(response, Err):
            return response
        if response.ok_value >= self._local.revision:
            return response
        state = self._build_state(with_content=True)
        return await self._send_state(peer, state)

    async def request_state(
        self,
        peer: Endpoint,
        *,
        wants_content: bool,
    ) -> Result[int, PeerFailure]:
        """Request a peer's revision.

        Args:
            peer: The peer.
            wants_content: Whether the peer sends its configuration, if that
                is newer.

        Returns:
            The peer's revision.
        """
        state = self._build_state(
            with_content=False, wants_content=wants_content
        )
        return await self._send_state(peer, state)

    async def _send_state(
        self,
        peer: Endpoint,
        state: PeerState,
    ) -> Result[int, PeerFailure]:
        response = await self._parts.peers.ask(
            peer,
            EXCHANGE_TOPIC,
            encode_state(state),
            self._parts.settings.ask_timeout,
        )
        if isinstance(response, Err):
            return response
        try:
            peer_state = decode_state(response.ok_value)
        except PeerStateError as error:
            return Err(PeerFailure(delivered=True, detail=str(error)))
        self._apply_state(ProcessId(peer.name), peer_state)
        return Ok(peer_state.revision)

    def _build_state(
        self,
        *,
        with_content: bool,
        wants_content: bool = False,
    ) -> PeerState:
        local = self._local
        return PeerState(
            local.revision,
            local.highest_known_revision,
            wants_content,
            local.content if with_content else b'',
        )

    def _apply_state(self, sender: ProcessId, state: PeerState) -> None:
        # The latest report replaces earlier ones: a restarted process may
        # report a lower revision than before.
        self._revisions_by_process[sender] = state.revision
        self._local.note_revision(
            max(state.highest_known_revision, state.revision)
        )
        if not state.content:
            return
        try:
            configuration = decode(state.content, Configuration)
        except RecordError as error:
            self._parts.events.emit(ConfigurationDamaged(sender, str(error)))
            return
        self.apply(configuration, sender)

    def apply(self, configuration: Configuration, source: str) -> None:
        """Apply a configuration if it is newer than the current one.

        Args:
            configuration: A configuration that the store has accepted.
            source: Origin of the configuration, for the event log.
        """
        try:
            is_newer = self._local.apply_if_newer(configuration)
        except RecordError as error:
            self._parts.events.emit(ConfigurationDamaged(source, str(error)))
            return
        if is_newer and self._local.joined:
            revision = configuration.revision
            self._parts.events.emit(ConfigurationInForce(revision, source))
