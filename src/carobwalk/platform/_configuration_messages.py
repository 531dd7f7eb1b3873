"""Body of the operator's configuration."""

import msgspec


class Part(msgspec.Struct):
    """A service and its share of a route."""

    service: str
    weight: float = 1.0


class Action(msgspec.Struct):
    """What happens to the requests of a rule."""

    timeout_s: float
    max_attempts: int = 1
    service: str | None = None
    traffic_split: tuple[Part, ...] = ()


class Match(msgspec.Struct):
    """Which requests a rule is for."""

    prefix: str


class Rule(msgspec.Struct):
    """A route; ``priority`` 0 is the most urgent."""

    kind: str
    match: Match
    action: Action
    name: str = ''
    target_latency_s: float | None = None
    priority: int = 0


class Listener(msgspec.Struct):
    """The rules of a host."""

    host: str
    rule_set: tuple[Rule, ...] = ()


class Cluster(msgspec.Struct):
    """A service; ``sharded`` means that each key is held by one backend."""

    name: str
    max_conns: int = 128
    sharded: bool = False


class Limits(msgspec.Struct):
    """Bounds on what clients may send; times in seconds."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 67_108_864
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class Configuration(msgspec.Struct):
    """The newest configuration in full."""

    version: str
    listeners: tuple[Listener, ...]
    clusters: tuple[Cluster, ...]
    limits: Limits = msgspec.field(default_factory=Limits)
