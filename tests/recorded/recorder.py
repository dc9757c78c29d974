"""Records bytes and data folders for test_recorded.py.

Run once on the build that is to be compared with later ones:
    python -m tests.recorded.recorder
"""

import asyncio
import dataclasses
import enum
import hashlib
import json
import pathlib
import shutil
import tempfile
import time
import types
import typing
import uuid

from godwitstall import codec
from godwitstall import errors
from godwitstall import messages
from tests.control import harness
from tests import fakes

FOLDER = pathlib.Path(__file__).parent
MESSAGES = FOLDER / 'messages.json'
EARLIER_MESSAGES = FOLDER / 'earlier_messages.json'
DISKS = FOLDER / 'disks'
EXPECTED = FOLDER / 'expected.json'

# Nothing that was recorded may expire, however late it is read.
_NEVER_S = 100 * 365 * 86_400.0

# A snapshot and log entries after it are recorded.
_SNAPSHOT_ENTRIES = 16
_OPERATIONS = 24

OPTIONS: dict[str, typing.Any] = {
    'snapshot_entries': _SNAPSHOT_ENTRIES,
    'operation_lifetime_s': _NEVER_S,
    'quarantine_lifetime_s': _NEVER_S,
    'member_timeout_s': _NEVER_S,
    'crash_threshold': 1,
}

_WORKSPACE = messages.WorkspaceName('w')
_ATTEMPT = messages.AttemptId('a1')
_NODE = messages.NodeId('n1')


def sample(kind: typing.Any, place: int = 0) -> typing.Any:
    """Return a value of a type with no field left at its default."""
    origin = typing.get_origin(kind)
    if origin is typing.Annotated:
        return sample(typing.get_args(kind)[0], place)
    if origin is types.UnionType:
        return sample(typing.get_args(kind)[0], place)
    if origin is list:
        return [sample(typing.get_args(kind)[0], n) for n in range(2)]
    if isinstance(kind, typing.NewType):
        return sample(kind.__supertype__, place)
    if kind is errors.ErrorKind:
        # The last one when the messages were recorded.
        return errors.ErrorKind.CHAIN_OVERLOADED
    if kind is messages.QueryKind:
        # The last one when the messages were recorded.
        return messages.QueryKind.DOCUMENT
    if isinstance(kind, type) and issubclass(kind, enum.Enum):
        return list(kind)[-1]
    if dataclasses.is_dataclass(kind) or hasattr(kind, '__struct_fields__'):
        hints = typing.get_type_hints(kind, include_extras=True)
        names = getattr(kind, '__struct_fields__', None) or [
            field.name for field in dataclasses.fields(kind)
        ]
        return kind(*(sample(hints[n], i) for i, n in enumerate(names)))
    values: dict[typing.Any, typing.Any] = {
        bool: True,
        int: 101 + place,
        float: 0.5 + place,
        str: f'text {place}',
        bytes: b'bytes %d' % place,
    }
    return values[kind]


def _id(number: int, now_ms: int) -> messages.OperationId:
    """Return a UUIDv7 made at now_ms."""
    value = now_ms << 80 | 7 << 76 | 2 << 62 | number
    return messages.OperationId(str(uuid.UUID(int=value)))


async def record_disks(root: pathlib.Path) -> dict[str, typing.Any]:
    """Run a fleet of control processes; return what an operator reads."""
    now_ms = int(time.time() * 1000)
    ids = [_id(number, now_ms) for number in range(_OPERATIONS)]
    async with harness.running(root, **OPTIONS) as fleet:
        operator = await fleet.operator(await fleet.leader())
        await fleet.apply_note(harness.rate_note(2, 5.0, 7))
        member = messages.Member(
            _NODE,
            1,
            messages.ServiceName('siop'),
            'z1',
            'r1',
            '127.0.0.1:1',
            messages.UpstreamState.READY,
            False,
            8,
            1,
        )
        await operator.propose(messages.Join(member))
        await operator.propose(messages.Drain(_NODE, True, 'ann'))
        for number, operation in enumerate(ids):
            await _operation(operator, operation, number)
        await operator.propose(
            messages.ReportCrash(
                hashlib.sha256(b'').digest(),
                _WORKSPACE,
                'siop',
                _NODE,
                1,
            )
        )
        processes = list(fleet.control.values())
        await fakes.until(
            lambda: (
                len({p.machine.applied_index for p in processes}) == 1
                and all(_has_snapshot(root / p.slot) for p in processes)
            ),
            'all have applied the log and hold a snapshot',
        )
        return read(processes[0], ids)


def _has_snapshot(folder: pathlib.Path) -> bool:
    return any(folder.glob('snapshot-*.bin'))


def read(
    process: harness.Process, ids: list[messages.OperationId]
) -> dict[str, typing.Any]:
    """Return what an operator reads from one process."""
    kinds = messages.QueryKind
    view: dict[str, typing.Any] = {
        kind.name: process.machine.query(kind, '')
        for kind in (
            kinds.STATUS,
            kinds.CONFIGURATION,
            kinds.MEMBERS,
            kinds.QUARANTINE,
            kinds.NOTES,
        )
    }
    # Both grow when a new leader is elected.
    del view['STATUS']['applied_index'], view['STATUS']['time_ms']
    view['OPERATIONS'] = {
        operation: process.machine.query(kinds.OPERATION, operation)
        for operation in ids
    }
    return view


async def _operation(
    operator: harness.Operator, operation: messages.OperationId, number: int
) -> None:
    await operator.propose(
        messages.Claim(
            operation,
            _WORKSPACE,
            hashlib.sha256(b'request').digest(),
            _ATTEMPT,
            _NODE,
            1,
            '127.0.0.1:9',
            'siop',
        )
    )
    match number % 3:
        case 0:
            await operator.propose(
                messages.Complete(
                    operation,
                    _ATTEMPT,
                    errors.Outcome.RUN,
                    200,
                    b'content-type: text/plain\r\n',
                    b'answer %d' % number,
                    False,
                    _WORKSPACE,
                )
            )
        case 1:
            await operator.propose(
                messages.Release(operation, _ATTEMPT, _WORKSPACE)
            )


def all_kinds() -> list[type]:
    """Return the types of all messages."""
    return list(typing.get_args(messages.Message))


def main() -> None:
    """Record everything."""
    MESSAGES.write_text(
        json.dumps(
            {
                kind.__name__: codec.encode(sample(kind)).hex()
                for kind in all_kinds()
            },
            indent=1,
        )
        + '\n'
    )
    shutil.rmtree(DISKS, ignore_errors=True)
    with tempfile.TemporaryDirectory() as name:
        root = pathlib.Path(name)
        expected = asyncio.run(record_disks(root))
        for slot in harness.SLOTS:
            shutil.copytree(root / slot, DISKS / slot)
    EXPECTED.write_text(json.dumps(expected, indent=1) + '\n')


if __name__ == '__main__':
    main()
