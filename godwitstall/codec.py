"""Bytes of every message and record.

encode() and decode() translate through a Frame of messages.capnp, whose union
names the type. Commands and results inside a log entry use the same encoding.

The messages of the request path and those that each node or replica sends
several times a second, such as heartbeats, are MessagePack
instead: capnp's dynamic Python interface costs 1 to 2 us for each field,
which is 140 us for a call and its answer, and msgspec takes 4 us for both.
The first byte tells the two apart: a capnp message starts with the number of
its segments less one, which is 0 here, and a MessagePack array with 0x90 or
above.

Example: decode(encode(messages.Cancel(call_id=7)))
"""

import collections.abc
import dataclasses
import enum
import pathlib
import re
import typing

import capnp
import msgspec

from godwitstall import errors
from godwitstall import messages

# Larger frames are refused before they are read.
MAX_FRAME_BYTES = 16 * 1024 * 1024

# capnp counts the words read and stops at a limit. Each word of a message is
# read once; a frame of 48 bytes that claims a list of 2^29 empty structs would
# otherwise hold the process up until its memory is used.
_READS_PER_WORD = 4
_MIN_TRAVERSAL_LIMIT_WORDS = 64

_SCHEMA = capnp.load(str(pathlib.Path(__file__).with_name('messages.capnp')))
_FRAME = _SCHEMA.Frame

_Convert = collections.abc.Callable[[typing.Any], typing.Any]


_Fill = collections.abc.Callable[[typing.Any, str, typing.Any], None]


class _Field(typing.NamedTuple):
    """How one field is translated."""

    name: str
    wire_name: str
    # None when the value goes over as it is.
    to_wire: _Convert | None
    from_wire: _Convert | None
    # Writes a struct or a list of structs in place; None for other values.
    fill: _Fill | None


def _camel(name: str) -> str:
    return re.sub(r'_(\w)', lambda found: found.group(1).upper(), name)


def _converters(
    kind: typing.Any,
) -> tuple[_Convert | None, _Convert | None, _Fill | None]:
    if dataclasses.is_dataclass(kind):
        return None, lambda wire: _from_wire(kind, wire), _fill_struct
    if isinstance(kind, type) and issubclass(kind, enum.Enum):
        return (lambda member: member.value), kind, None
    if typing.get_origin(kind) is list:
        _, from_item, fill_item = _converters(typing.get_args(kind)[0])
        if from_item is None or fill_item is None:
            return None, list, None
        return None, lambda items: [from_item(i) for i in items], _fill_list
    return None, None, None


# Messages that are sent often and the codec that they share.
_PathMessage = (
    messages.Call
    | messages.Answer
    | messages.Cancel
    | messages.Take
    | messages.TakeReply
    | messages.Heartbeat
    | messages.HeartbeatReply
    | messages.GrantRequest
    | messages.GrantReply
    | messages.BarrierRequest
    | messages.BarrierReply
)
_PATH_KINDS = typing.get_args(_PathMessage)
_PATH_ENCODER = msgspec.msgpack.Encoder()
_PATH_DECODER: msgspec.msgpack.Decoder[_PathMessage]
_PATH_DECODER = msgspec.msgpack.Decoder(_PathMessage)

# Lowest first byte of a MessagePack array.
_ARRAY_START = b'\x90'

_plans: dict[typing.Any, list[_Field]] = {}


def _plan(kind: typing.Any) -> list[_Field]:
    plan = _plans.get(kind)
    if plan is None:
        hints = typing.get_type_hints(kind)
        plan = [
            _Field(
                field.name,
                _camel(field.name),
                *_converters(hints[field.name]),
            )
            for field in dataclasses.fields(kind)
        ]
        _plans[kind] = plan
    return plan


def _write(part: typing.Any, message: typing.Any) -> None:
    for name, wire_name, to_wire, _, fill in _plan(type(message)):
        value = getattr(message, name)
        if fill is not None:
            fill(part, wire_name, value)
        else:
            setattr(
                part, wire_name, value if to_wire is None else to_wire(value)
            )


def _fill_struct(part: typing.Any, wire_name: str, value: typing.Any) -> None:
    _write(part.init(wire_name), value)


def _fill_list(part: typing.Any, wire_name: str, values: typing.Any) -> None:
    # Filled in place: pycapnp takes several times as long to fill a list of
    # structs from dictionaries.
    items = part.init(wire_name, len(values))
    for place, value in enumerate(values):
        _write(items[place], value)


def _from_wire(kind: typing.Any, wire: typing.Any) -> typing.Any:
    message = kind.__new__(kind)
    for name, wire_name, _, from_wire, _ in _plan(kind):
        value = getattr(wire, wire_name)
        setattr(
            message, name, value if from_wire is None else from_wire(value)
        )
    return message


def _union_name(kind: type) -> str:
    return kind.__name__[0].lower() + kind.__name__[1:]


KINDS: dict[str, type] = {
    _union_name(kind): kind
    for kind in typing.get_args(messages.Message)
    if kind not in _PATH_KINDS
}
_UNION_NAMES: dict[type, str] = {kind: name for name, kind in KINDS.items()}


def encode(message: messages.Message) -> bytes:
    """Return the bytes of one message, without the length prefix."""
    if isinstance(message, _PATH_KINDS):
        return _PATH_ENCODER.encode(message)
    frame = _FRAME.new_message()
    _write(frame.init(_UNION_NAMES[type(message)]), message)
    return typing.cast(bytes, frame.to_bytes())


def decode(data: bytes) -> messages.Message:
    """Return the message in data.

    Errors: LinkError of kind BAD_MESSAGE when data is no message.
    """
    try:
        if data[:1] >= _ARRAY_START:
            return _PATH_DECODER.decode(data)
        limit = len(data) // 8 * _READS_PER_WORD + _MIN_TRAVERSAL_LIMIT_WORDS
        with _FRAME.from_bytes(data, traversal_limit_in_words=limit) as frame:
            name = frame.which()
            message: messages.Message = _from_wire(
                KINDS[str(name)], getattr(frame, str(name))
            )
            return message
    except (capnp.KjException, ValueError, KeyError) as e:
        raise errors.LinkError(
            errors.ErrorKind.BAD_MESSAGE, f'Bytes are no message: {e}.'
        ) from e
