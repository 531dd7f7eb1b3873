"""Tests of the codec of frames."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from carobwalk.events import HybridStamp
from carobwalk.model import (
    Address,
    Completion,
    DataCentreName,
    Endpoint,
    Failure,
    FailureKind,
    FenceToken,
    Key,
    Outcome,
    Placement,
    Rank,
    RegionName,
    RequestHead,
    RequestId,
    ServerId,
    ServiceName,
    ShardNumber,
)
from carobwalk.peer import FrameError, Topic, frames
from carobwalk.peer.codec import decode_frame, encode_frame

_FUZZ_INPUTS = 10_000
_STAMP = HybridStamp(9, 1)
_TEXT = st.text(max_size=20).filter(lambda text: '\x00' not in text)
_NUMBERS = st.integers(min_value=0, max_value=2**63 - 1)
_BYTES = st.binary(max_size=50)
_HEADERS = st.lists(st.tuples(_BYTES, _BYTES), max_size=4).map(tuple)
_ENDPOINTS = st.builds(
    Endpoint,
    _TEXT,
    st.builds(Address, _TEXT, st.integers(min_value=0, max_value=65_535)),
    _TEXT.map(RegionName),
    _TEXT.map(DataCentreName),
)
_PLACEMENTS = st.builds(
    Placement,
    _ENDPOINTS,
    _ENDPOINTS,
    st.none() | st.integers(0, 9999).map(ShardNumber),
    st.none() | st.builds(FenceToken, st.integers(1, 2**40), _NUMBERS),
)
_HEADS = st.builds(
    RequestHead,
    _TEXT.map(RequestId),
    _TEXT.map(ServiceName),
    st.sampled_from(Rank),
    _TEXT,
    _TEXT,
    _HEADERS,
    st.none() | _TEXT.map(Key),
    st.floats(0, 1000),
    st.booleans(),
    st.none() | _TEXT.filter(bool),
    _TEXT,
    st.none() | st.integers(0, 2**40),
)
_BODIES = st.one_of(
    st.builds(frames.Hello, _TEXT),
    st.builds(frames.Ask, _TEXT.map(Topic), _BYTES),
    st.builds(frames.Answer, _BYTES),
    st.builds(frames.AskFailed, _TEXT),
    st.builds(frames.OpenRequest, _HEADS, _PLACEMENTS),
    st.builds(frames.Chunk, _BYTES),
    st.just(frames.BodyEnd()),
    st.just(frames.BodyBroken()),
    st.builds(frames.Credit, st.integers(0, 2**31)),
    st.just(frames.Cancel()),
    st.builds(frames.ReplyHead, st.integers(100, 599), _HEADERS),
    st.builds(
        frames.Completed,
        st.builds(
            Completion,
            st.integers(100, 599),
            _TEXT.map(ServerId),
            _NUMBERS,
            _NUMBERS,
        ),
    ),
    st.builds(
        frames.Failed,
        st.builds(
            Failure,
            st.sampled_from(FailureKind),
            st.sampled_from(Outcome),
            _TEXT,
            st.none() | st.floats(0, 100),
        ),
    ),
)
_STAMPS = st.builds(HybridStamp, _NUMBERS, st.integers(0, 2**32 - 1))
_FRAMES = st.builds(frames.Frame, _NUMBERS, _STAMPS, _BODIES)


class TestCodec:
    @given(frame=_FRAMES)
    def test_round_trip(self, frame: frames.Frame) -> None:
        """Decoding an encoded frame returns an equal frame."""
        assert decode_frame(encode_frame(frame)) == frame

    def test_malformed(self) -> None:
        """Random and corrupted bytes decode to a frame or raise FrameError."""
        rng = random.Random(5)
        sample = encode_frame(
            frames.Frame(
                7, HybridStamp(9, 1), frames.ReplyHead(200, ((b'a', b'b'),))
            ),
        )
        rejected = sum(
            _is_rejected(_corrupt(sample, rng)) for _ in range(_FUZZ_INPUTS)
        )
        assert rejected > 0


def _corrupt(sample: bytes, rng: random.Random) -> bytes:
    if rng.randrange(3) == 0:
        return rng.randbytes(rng.randrange(120))
    corrupted = bytearray(sample)
    for _ in range(rng.randint(1, 6)):
        corrupted[rng.randrange(len(corrupted))] = rng.randrange(256)
    return bytes(corrupted[: rng.randint(0, len(corrupted))])


def _is_rejected(encoded: bytes) -> bool:
    try:
        decode_frame(encoded)
    except FrameError:
        return True
    return False


def test_unknown_enumeration_value() -> None:
    """A value outside an enumeration raises FrameError."""
    failure = Failure(FailureKind.SHED, Outcome.NOT_RUN, 'x')
    encoded = encode_frame(frames.Frame(1, _STAMP, frames.Failed(failure)))
    with pytest.raises(FrameError):
        decode_frame(encoded.replace(b'shed', b'shod'))
