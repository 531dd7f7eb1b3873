"""Owner and pre-agreed successor of a shard."""

from dataclasses import dataclass

from carobwalk.model import ServerId


@dataclass(frozen=True, slots=True, order=True)
class Holder:
    """One incarnation of a backend server.

    Args:
        server: Identity of the backend server.
        incarnation: Random name that it took when it started.
    """

    server: ServerId
    incarnation: str


@dataclass(frozen=True, slots=True)
class Succession:
    """The two holders that a coordinator may activate for a shard.

    Args:
        owner: Holder that comes first.
        successor: Holder that may follow without a write to the store.
    """

    owner: Holder
    successor: Holder | None

    def holders(self) -> tuple[Holder, ...]:
        """Return the holders, owner first."""
        if self.successor is None:
            return (self.owner,)
        return (self.owner, self.successor)
