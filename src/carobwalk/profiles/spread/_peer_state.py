"""Messages by which processes pass the configuration on."""

from dataclasses import dataclass
from pathlib import Path
from typing import Any

import capnp

from carobwalk.model import CarobwalkError

_schema: Any = capnp.load(str(Path(__file__).with_name('configuration.capnp')))


class PeerStateError(CarobwalkError):
    """A peer's message can't be read."""


@dataclass(frozen=True, slots=True)
class PeerState:
    """What a process holds, as it tells a peer.

    Args:
        revision: Revision in force; 0 for none.
        heard: Highest revision that it heard of.
        wants_content: Whether to answer with a higher revision.
        content: Encoded configuration of the revision; empty if not sent.
    """

    revision: int
    heard: int
    wants_content: bool = False
    content: bytes = b''


def encode_state(state: PeerState) -> bytes:
    """Return the capnp message of a state."""
    message = _schema.ConfigurationState.new_message(
        revision=state.revision,
        heard=state.heard,
        wantsContent=state.wants_content,
        content=state.content,
    )
    return bytes(message.to_bytes())


def decode_state(payload: bytes) -> PeerState:
    """Return the state of a capnp message.

    Raises:
        PeerStateError: If the payload is no such message.
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
