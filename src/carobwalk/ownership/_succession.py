"""Owner and designated successor of a shard."""

from dataclasses import dataclass

from carobwalk.model import ServerId


@dataclass(frozen=True, slots=True, order=True)
class Holder:
    """One incarnation of a backend server.

    Args:
        server: Id of the backend server.
        incarnation: Random name that the server chose when it started.
    """

    server: ServerId
    incarnation: str


@dataclass(frozen=True, slots=True)
class Succession:
    """The two holders that a coordinator may activate for a shard.

    Args:
        owner: Holder that is activated first.
        successor: Holder that may replace it without a write to the store.
    """

    owner: Holder
    successor: Holder | None

    def holders(self) -> tuple[Holder, ...]:
        """Return the holders, owner first."""
        if self.successor is None:
            return (self.owner,)
        return (self.owner, self.successor)
