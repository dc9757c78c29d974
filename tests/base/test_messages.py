"""Tests that the data classes of messages match their schema."""

import dataclasses

import pytest

from godwitstall import codec
from godwitstall import errors
from godwitstall import messages

_SAMPLES: list[messages.Message] = [
    messages.Call(call_id=7, service=messages.ServiceName('a'), body=b'xy'),
    messages.Answer(
        call_id=7,
        kind=errors.ErrorKind.OVERLOADED,
        load=messages.LoadReport(1, 2, 3, messages.UpstreamState.READY),
    ),
    messages.StateUpdate(
        members=[messages.Member(node_id=messages.NodeId('n1'))],
        removed_members=['n2'],
    ),
]

# An Expire whose list declares 2^29 empty structs.
_HUGE_LIST = bytes.fromhex(
    '000000000500000000000000010001001f001400000000000000000000000100'
    '010000008000ff000000000002000100'
)

_INVALID = [
    b'',
    b'x',
    b'\0' * 48,
    b'\xff' * 64,
    b'\x90',
    # An unknown tag.
    b'\x92\x40\x01',
    # A negative number.
    b'\x92\x06\xff',
    b'\x9f' + b'\x01' * 20,
    _HUGE_LIST,
]


@pytest.mark.parametrize('sample', _SAMPLES, ids=lambda s: type(s).__name__)
def test_round_trip(sample: messages.Message) -> None:
    """Guards against a field that is lost or changed on the wire."""
    assert codec.decode(codec.encode(sample)) == sample


def test_every_message_encodes() -> None:
    """Guards against a data class with fields that the schema lacks."""
    for cls in codec.CAPNP_CLASSES.values():
        message = cls()
        assert codec.decode(codec.encode(message)) == message
        assert dataclasses.is_dataclass(message)


@pytest.mark.parametrize('data', _INVALID)
def test_garbage_is_refused(data: bytes) -> None:
    """Guards against an exception of the codec that is not handled."""
    with pytest.raises(errors.LinkError) as caught:
        codec.decode(data)
    assert caught.value.kind is errors.ErrorKind.BAD_MESSAGE


def test_every_kind_has_an_answer() -> None:
    """Guards against an error kind without a response to the caller."""
    assert set(errors.ANSWERS) == set(errors.ErrorKind)
