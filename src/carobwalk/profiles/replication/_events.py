"""Events of configuration replication."""

from dataclasses import dataclass

from carobwalk.events import Event


@dataclass(frozen=True, slots=True)
class ConfigurationInForce(Event):
    """A process activated a revision.

    Args:
        revision: The activated revision.
        source: ``store``, ``writer``, ``start`` for the first activation
            after a start, or the name of the peer that sent the revision.
    """

    revision: int
    source: str


@dataclass(frozen=True, slots=True)
class ConfigurationDamaged(Event):
    """A configuration could not be decoded and was ignored.

    Args:
        source: ``store``, ``writer`` or the name of the peer that sent it.
        detail: Decoding error.
    """

    source: str
    detail: str


@dataclass(frozen=True, slots=True)
class ConfigurationStoreLost(Event):
    """The store stopped answering; the current revision stays active.

    Args:
        revision: Active revision.
        detail: Failure of the store call.
    """

    revision: int
    detail: str


@dataclass(frozen=True, slots=True)
class ConfigurationStoreBehind(Event):
    """The store returned an older revision than the active one.

    Args:
        store_revision: Revision that the store returned.
        revision: Active revision.
    """

    store_revision: int
    revision: int
