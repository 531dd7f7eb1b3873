"""Cap'n Proto encoding of the messages between processes."""

from importlib import resources
from typing import Any, Final

import capnp

from carobwalk.model import ProcessId, ServerId
from carobwalk.ownership._map_push import MapAnswer, MapPush
from carobwalk.ownership._row_codec import (
    decode_division,
    decode_endpoint,
    decode_server,
    decode_shard,
    encode_division,
    encode_endpoint,
    encode_server,
    encode_shard,
)


def _load() -> Any:
    source = resources.files('carobwalk.ownership') / 'ownership.capnp'
    with resources.as_file(source) as path:
        return capnp.load(str(path))


SCHEMA: Final = _load()


def encode_push(push: MapPush) -> bytes:
    """Encode a coordinator's push."""
    message = SCHEMA.MapPush.new_message(
        group=push.group,
        epoch=push.epoch,
        revision=push.revision,
        sequence=push.sequence,
        base=push.base,
        coordinator=encode_endpoint(push.coordinator),
        dispatchers=[encode_endpoint(entry) for entry in push.dispatchers],
        servers=[encode_server(row) for row in push.servers],
        removed=list(push.removed),
        shards=[encode_shard(row) for row in push.shards],
        divisions=[encode_division(division) for division in push.divisions],
        leases=list(push.leases),
        echo=push.echo,
        ttl=push.ttl,
        record=push.record,
        resigning=push.resigning,
    )
    return bytes(message.to_bytes_packed())


def decode_push(payload: bytes) -> MapPush:
    """Decode a coordinator's push."""
    message = SCHEMA.MapPush.from_bytes_packed(payload)
    return MapPush(
        group=message.group,
        epoch=message.epoch,
        revision=message.revision,
        sequence=message.sequence,
        base=message.base,
        coordinator=decode_endpoint(message.coordinator),
        dispatchers=tuple(map(decode_endpoint, message.dispatchers)),
        servers=tuple(map(decode_server, message.servers)),
        removed=tuple(map(ServerId, message.removed)),
        shards=tuple(map(decode_shard, message.shards)),
        divisions=tuple(map(decode_division, message.divisions)),
        leases=tuple(map(ServerId, message.leases)),
        echo=message.echo,
        ttl=message.ttl,
        record=message.record,
        resigning=message.resigning,
    )


def encode_answer(answer: MapAnswer) -> bytes:
    """Encode an entry's answer to a push."""
    message = SCHEMA.MapAnswer.new_message(
        process=answer.process,
        epoch=answer.epoch,
        revision=answer.revision,
        clock=answer.clock,
        leases=list(answer.leases),
        leaving=answer.leaving,
    )
    return bytes(message.to_bytes_packed())


def decode_answer(payload: bytes) -> MapAnswer:
    """Decode an entry's answer to a push."""
    message = SCHEMA.MapAnswer.from_bytes_packed(payload)
    return MapAnswer(
        process=ProcessId(message.process),
        epoch=message.epoch,
        revision=message.revision,
        clock=message.clock,
        leases=tuple(map(ServerId, message.leases)),
        leaving=message.leaving,
    )
