"""Messages that exchange the configuration between processes."""

from dataclasses import dataclass
from pathlib import Path
from typing import Any

import capnp

from carobwalk.model import CarobwalkError

_schema: Any = capnp.load(str(Path(__file__).with_name('configuration.capnp')))


class PeerStateError(CarobwalkError):
    """A peer's message can't be decoded."""


@dataclass(frozen=True, slots=True)
class PeerState:
    """Replication state that a process reports to a peer.

    Args:
        revision: Active revision of the sender; 0 if there is none.
        highest_known_revision: Highest revision that the sender knows of.
        wants_content: Whether the receiver should send its configuration if
            that is newer.
        content: Encoded configuration of ``revision``; empty if not sent.
    """

    revision: int
    highest_known_revision: int
    wants_content: bool = False
    content: bytes = b''


def encode_state(state: PeerState) -> bytes:
    """Serialise a state to a Cap'n Proto message."""
    message = _schema.ConfigurationState.new_message(
        revision=state.revision,
        heard=state.highest_known_revision,
        wantsContent=state.wants_content,
        content=state.content,
    )
    return bytes(message.to_bytes())


def decode_state(payload: bytes) -> PeerState:
    """Deserialise a state from a Cap'n Proto message.

    Raises:
        PeerStateError: If the payload is not a valid message.
    """
    try:
        with _schema.ConfigurationState.from_bytes(payload) as message:
            return PeerState(
                message.revision,
                message.heard,
                message.wantsContent,
                bytes(message.content),
            )
    except (capnp.KjException, ValueError) as error:
        raise PeerStateError(str(error)) from error
