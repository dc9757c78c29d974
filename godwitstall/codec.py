"""Encoding and decoding of all messages and stored records.

Most messages are encoded with Cap'n Proto, as a Frame of messages.capnp whose
union identifies the type. Commands and results in log entries use the same
encoding.

The messages of the request path, and those that each node or replica sends
several times a second, such as heartbeats, use MessagePack. The dynamic Python
interface of capnp takes 1 to 2 us per field, which is 140 us for a Call and
its Answer; msgspec takes 4 us for both.

The first byte distinguishes the two encodings. A Cap'n Proto message starts
with its number of segments minus one, which is 0 here, and a MessagePack array
with 0x90 or above.

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

# A longer frame is rejected before its body is received.
MAX_FRAME_BYTES = 16 * 1024 * 1024

# Bounds on the words that capnp may read from a message. decode() reads each
# word once. Without a bound, a frame of 48 bytes that declares a list of 2^29
# empty structs would block the process until it runs out of memory.
_READS_PER_WORD = 4
_MIN_TRAVERSAL_LIMIT_WORDS = 64

_SCHEMA = capnp.load(str(pathlib.Path(__file__).with_name('messages.capnp')))
_FRAME = _SCHEMA.Frame

_Converter = collections.abc.Callable[[typing.Any], typing.Any]

_Writer = collections.abc.Callable[[typing.Any, str, typing.Any], None]


class _Field(typing.NamedTuple):
    """Conversion of one field between a data class and its capnp struct."""

    name: str
    # Name in the schema.
    schema_name: str
    # None if the value needs no conversion.
    to_capnp: _Converter | None
    from_capnp: _Converter | None
    # Writes a struct or a list of structs in place; None for other types.
    write_in_place: _Writer | None


def _camel_case(name: str) -> str:
    return re.sub(r'_(\w)', lambda match: match.group(1).upper(), name)


def _converters(
    typ: typing.Any,
) -> tuple[_Converter | None, _Converter | None, _Writer | None]:
    """Return the conversion functions of a field with this type."""
    if dataclasses.is_dataclass(typ):
        return None, lambda reader: _read(typ, reader), _write_struct
    if isinstance(typ, type) and issubclass(typ, enum.Enum):
        return (lambda member: member.value), typ, None
    if typing.get_origin(typ) is list:
        _, from_item, write_item = _converters(typing.get_args(typ)[0])
        if from_item is None or write_item is None:
            return None, list, None
        return None, lambda items: [from_item(i) for i in items], _write_list
    return None, None, None


# Messages that are sent often enough to need MessagePack.
_MsgpackMessage = (
    messages.Call
    | messages.Answer
    | messages.Cancel
    | messages.BodyOffer
    | messages.BodyGrant
    | messages.BodyPart
    | messages.Take
    | messages.TakeReply
    | messages.Heartbeat
    | messages.HeartbeatReply
    | messages.GrantRequest
    | messages.GrantReply
    | messages.BarrierRequest
    | messages.BarrierReply
)
_MSGPACK_CLASSES = typing.get_args(_MsgpackMessage)
_MSGPACK_ENCODER = msgspec.msgpack.Encoder()
_MSGPACK_DECODER: msgspec.msgpack.Decoder[_MsgpackMessage]
_MSGPACK_DECODER = msgspec.msgpack.Decoder(_MsgpackMessage)

# Lowest first byte of a MessagePack array.
_MIN_MSGPACK_ARRAY = b'\x90'

# Fields of the classes that have been encoded or decoded so far.
_fields_cache: dict[typing.Any, list[_Field]] = {}


def _fields_of(cls: typing.Any) -> list[_Field]:
    fields = _fields_cache.get(cls)
    if fields is None:
        hints = typing.get_type_hints(cls)
        fields = [
            _Field(
                field.name,
                _camel_case(field.name),
                *_converters(hints[field.name]),
            )
            for field in dataclasses.fields(cls)
        ]
        _fields_cache[cls] = fields
    return fields


def _write(builder: typing.Any, message: typing.Any) -> None:
    """Copy a message to the builder of its capnp struct."""
    for name, schema_name, to_capnp, _, write_in_place in _fields_of(
        type(message)
    ):
        value = getattr(message, name)
        if write_in_place is not None:
            write_in_place(builder, schema_name, value)
        else:
            setattr(
                builder,
                schema_name,
                value if to_capnp is None else to_capnp(value),
            )


def _write_struct(
    builder: typing.Any, schema_name: str, value: typing.Any
) -> None:
    _write(builder.init(schema_name), value)


def _write_list(
    builder: typing.Any, schema_name: str, values: typing.Any
) -> None:
    # Written in place, because pycapnp takes several times as long to copy a
    # list of structs from dictionaries.
    items = builder.init(schema_name, len(values))
    for index, value in enumerate(values):
        _write(items[index], value)


def _read(cls: typing.Any, reader: typing.Any) -> typing.Any:
    """Return a message with the values of the reader of its capnp struct."""
    message = cls.__new__(cls)
    for name, schema_name, _, from_capnp, _ in _fields_of(cls):
        value = getattr(reader, schema_name)
        setattr(
            message, name, value if from_capnp is None else from_capnp(value)
        )
    return message


def _union_name(cls: type) -> str:
    return cls.__name__[0].lower() + cls.__name__[1:]


# Classes of the messages encoded with Cap'n Proto, by name in the union.
CAPNP_CLASSES: dict[str, type] = {
    _union_name(cls): cls
    for cls in typing.get_args(messages.Message)
    if cls not in _MSGPACK_CLASSES
}
_UNION_NAMES: dict[type, str] = {
    cls: name for name, cls in CAPNP_CLASSES.items()
}


def encode(message: messages.Message) -> bytes:
    """Return one encoded message, without the length prefix of its frame."""
    if isinstance(message, _MSGPACK_CLASSES):
        return _MSGPACK_ENCODER.encode(message)
    frame = _FRAME.new_message()
    _write(frame.init(_UNION_NAMES[type(message)]), message)
    return typing.cast(bytes, frame.to_bytes())


def decode(data: bytes) -> messages.Message:
    """Return the message that data encodes.

    Errors: LinkError of kind BAD_MESSAGE when data is not a valid message.
    """
    try:
        if data[:1] >= _MIN_MSGPACK_ARRAY:
            return _MSGPACK_DECODER.decode(data)
        limit = len(data) // 8 * _READS_PER_WORD + _MIN_TRAVERSAL_LIMIT_WORDS
        with _FRAME.from_bytes(data, traversal_limit_in_words=limit) as frame:
            name = frame.which()
            message: messages.Message = _read(
                CAPNP_CLASSES[str(name)], getattr(frame, str(name))
            )
            return message
    except (capnp.KjException, ValueError, KeyError) as e:
        raise errors.LinkError(
            errors.ErrorKind.BAD_MESSAGE,
            f'The message cannot be decoded: {e}.',
        ) from e
