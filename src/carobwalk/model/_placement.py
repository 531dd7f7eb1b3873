"""Destination of the requests for a key."""

from dataclasses import dataclass

from carobwalk.model._endpoint import Endpoint
from carobwalk.model._fence_token import FenceToken
from carobwalk.model._names import ShardNumber


@dataclass(frozen=True, slots=True)
class Placement:
    """Owner and dispatcher of a shard, or a candidate for unkeyed requests.

    Args:
        server: Backend server that owns the shard.
        dispatcher: Entry process that dispatches to that server.
        shard: Shard of the key; ``None`` for unkeyed requests.
        token: Fencing token of the owner's grant; ``None`` for unkeyed
            requests.
    """

    server: Endpoint
    dispatcher: Endpoint
    shard: ShardNumber | None
    token: FenceToken | None
