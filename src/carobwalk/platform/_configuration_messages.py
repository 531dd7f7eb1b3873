"""Messages of the operator's configuration."""

import msgspec


class Part(msgspec.Struct):
    """A service and its weight in a traffic split."""

    service: str
    weight: float = 1.0


class Action(msgspec.Struct):
    """What happens to the requests of a rule.

    ``allowed_regions`` may also stand in the rule itself.
    """

    timeout_s: float
    max_attempts: int = 1
    service: str | None = None
    traffic_split: tuple[Part, ...] = ()
    allowed_regions: tuple[str, ...] | None = None


class Match(msgspec.Struct):
    """Path prefix of the requests that a rule applies to."""

    prefix: str


class Rule(msgspec.Struct):
    """A route; ``priority`` 0 is the highest priority."""

    kind: str
    match: Match
    action: Action
    name: str = ''
    target_latency_s: float | None = None
    priority: int = 0
    allowed_regions: tuple[str, ...] | None = None


class Listener(msgspec.Struct):
    """Routing rules for one host name."""

    host: str
    rule_set: tuple[Rule, ...] = ()


class Cluster(msgspec.Struct):
    """A service; if ``sharded``, one backend server owns each key.

    A server is slow for ``warmup_s`` seconds at a time and can then take
    ``warmup_per_s`` requests a second.
    """

    name: str
    max_conns: int = 128
    sharded: bool = False
    warmup_s: float | None = None
    warmup_per_s: float | None = None


class Limits(msgspec.Struct):
    """Limits on requests and connections of callers; times in seconds."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 67_108_864
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class Configuration(msgspec.Struct):
    """A complete configuration."""

    version: str
    listeners: tuple[Listener, ...]
    clusters: tuple[Cluster, ...]
    limits: Limits = msgspec.field(default_factory=Limits)
