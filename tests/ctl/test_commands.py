"""Operator commands against fake control replicas."""

import asyncio
import collections.abc
import dataclasses
import hashlib
import json
import pathlib
import typing

import pytest

from godwitstall.ctl import client as clients
from godwitstall.ctl import commands
from godwitstall import errors
from godwitstall import messages
from tests.ctl import fake_control

_NOTE = """\
number = {number}
[[added.workspaces]]
name = '{name}'
rate = 10
burst = 20
[[added.keys]]
id = 'key-{name}'
workspace = '{name}'
digest = '{digest}'
[[added.routes]]
name = 'orders-{name}'
path_prefix = '/orders-{name}'
service = 'siop'
"""

# 2025-12-04 00:00:01 UTC.
_ID_MS = 1_764_806_401_000

_TestFunction = collections.abc.Callable[
    [fake_control.FakeControl], collections.abc.Awaitable[None]
]


@pytest.fixture
def run(
    tmp_path: pathlib.Path,
) -> collections.abc.Callable[[_TestFunction], None]:
    """Return a function that runs a test with fake control replicas."""

    def run_test(test: _TestFunction) -> None:
        async def main() -> None:
            async with fake_control.FakeControl(tmp_path) as control:
                await test(control)

        asyncio.run(main())

    return run_test


_RunTest = collections.abc.Callable[[_TestFunction], None]


def _write_note(folder: pathlib.Path, number: int, name: str) -> str:
    path = folder / f'note-{number}-{name}.toml'
    digest = hashlib.sha256(name.encode()).hexdigest()
    path.write_text(_NOTE.format(number=number, name=name, digest=digest))
    return str(path)


def _operation_id(number: int) -> messages.OperationId:
    text = f'{_ID_MS:012x}7{number:03x}8{number:015x}'
    parts = (text[:8], text[8:12], text[12:16], text[16:20], text[20:])
    return messages.OperationId('-'.join(parts))


def _join(control: fake_control.FakeControl, name: str) -> None:
    control.apply(
        messages.Join(
            messages.Member(
                node_id=messages.NodeId(name),
                incarnation=7,
                service=messages.ServiceName('siop'),
                zone='sied-wau',
                region='teifi',
                address='10.0.0.1:7200',
                state=messages.UpstreamState.READY,
                slots=4,
            )
        )
    )


def _count_requests(control: fake_control.FakeControl, kind: type) -> int:
    return sum(isinstance(request, kind) for request in control.requests)


def test_note(run: _RunTest, tmp_path: pathlib.Path) -> None:
    """Guards against a wrong report of the verdict on a note."""
    first = _write_note(tmp_path, 1, 'a')
    other = _write_note(tmp_path, 1, 'b')
    second = _write_note(tmp_path, 2, 'b')
    third = _write_note(tmp_path, 3, 'c')

    async def test(control: fake_control.FakeControl) -> None:
        client = control.client()
        for path, command, is_success, words in (
            (first, commands.check_note, True, 'can be applied; note 0'),
            (first, commands.apply_note, True, 'Note 1 is in force.'),
            (
                first,
                commands.apply_note,
                True,
                "already: accepted from 'mair'",
            ),
            (first, commands.check_note, True, 'is in force already'),
            (other, commands.check_note, False, 'next number is 2, not 1'),
            (other, commands.apply_note, False, "another note of 'mair'"),
            (third, commands.check_note, False, 'next number is 2, not 3'),
            (third, commands.apply_note, False, 'The next number is 2.'),
            (second, commands.apply_note, True, 'Note 2 is in force.'),
        ):
            result = await command(client, path)
            assert words in result.to_text()
            assert result.is_success is is_success
            assert json.loads(result.to_json())['ok'] is is_success
        listed = await commands.list_notes(client)
        assert [row['number'] for row in listed.rows] == [1, 2]
        shown = (await commands.show_configuration(client)).to_text()
        assert 'Note 2 is in force.' in shown
        assert 'key-a' in shown
        assert hashlib.sha256(b'a').hexdigest() not in shown

    run(test)


def test_wrong_note(run: _RunTest, tmp_path: pathlib.Path) -> None:
    """Guards against an invalid note that is sent to control."""
    path = tmp_path / 'note.toml'
    path.write_text('number = 1\n[added]\nkeyz = []\n[[added.workspaces]]\n')

    async def test(control: fake_control.FakeControl) -> None:
        for command in (commands.check_note, commands.apply_note):
            result = await command(control.client(), str(path))
            assert not result.is_success
            lines = result.text.splitlines()
            assert f'{path}: added.keyz: unknown key' in lines
            assert all(line.startswith(f'{path}: ') for line in lines)
        assert control.requests == []
        for name in ('absent.toml', '.'):
            with pytest.raises(commands.CommandError, match='cannot be read'):
                await commands.check_note(
                    control.client(), str(tmp_path / name)
                )

    run(test)


def test_invalid_note_of_control(
    run: _RunTest, tmp_path: pathlib.Path
) -> None:
    """Guards against a rejection by control that is reported as success."""
    path = tmp_path / 'note.toml'
    path.write_text("number = 1\n[withdrawn]\nkeys = ['k', 'l']\n")

    async def test(control: fake_control.FakeControl) -> None:
        result = await commands.apply_note(control.client(), str(path))
        assert not result.is_success
        assert result.text.splitlines() == [
            f"{path}: withdrawn.keys[0]: 'k' does not exist",
            f"{path}: withdrawn.keys[1]: 'l' does not exist",
        ]

    run(test)


def test_lost_reply_of_a_note(run: _RunTest, tmp_path: pathlib.Path) -> None:
    """Guards against an error, or a second note, after a lost reply."""
    path = _write_note(tmp_path, 1, 'a')

    async def test(control: fake_control.FakeControl) -> None:
        control.replies_to_drop = 2
        result = await commands.apply_note(control.client(), path)
        assert result.is_success
        assert 'was in force already' in result.text
        assert _count_requests(control, messages.Propose) == 3
        assert control.machine.configuration.configuration.number == 1

    run(test)


def test_rejected_request_is_retried_at_another_replica(run: _RunTest) -> None:
    """Guards against a command that fails if one replica has no leader."""

    async def test(control: fake_control.FakeControl) -> None:
        control.rejections = 2
        result = await commands.list_members(control.client())
        assert result.is_success
        assert _count_requests(control, messages.Query) == 3

    run(test)


def test_one_replica_is_enough(run: _RunTest) -> None:
    """Guards against a command that requires all replicas."""

    async def test(control: fake_control.FakeControl) -> None:
        await control.stop('c1')
        await control.stop('c3')
        assert (await commands.list_members(control.client())).is_success
        rows = (await commands.show_where(control.client())).rows
        assert [(row['process'], row['in_force']) for row in rows] == [
            ('c1', 'unknown'),
            ('c2', 'yes'),
            ('c3', 'unknown'),
        ]

    run(test)


def test_no_replica(run: _RunTest) -> None:
    """Guards against a command that hangs or omits the causes."""

    async def test(control: fake_control.FakeControl) -> None:
        for slot in control.slots:
            await control.stop(slot)
        with pytest.raises(errors.ControlError) as caught:
            await commands.list_members(control.client(timeout_s=0.1))
        assert caught.value.kind is errors.ErrorKind.CONTROL_LOST
        for slot in control.slots:
            assert f'{slot}: No link to' in str(caught.value)
        assert '\n' not in str(caught.value)

    run(test)


def test_wrong_secret(run: _RunTest) -> None:
    """Guards against a wrong secret that is reported as a network error."""

    async def test(control: fake_control.FakeControl) -> None:
        client = control.client(timeout_s=0.1, secret=b'another secret here')
        with pytest.raises(errors.ControlError, match='fleet secret'):
            await commands.list_members(client)
        assert control.requests == []

    run(test)


def test_where(run: _RunTest) -> None:
    """Guards against a node shown with a configuration that it lacks."""

    async def test(control: fake_control.FakeControl) -> None:
        for name in ('siop-1', 'siop-2', 'siop-3'):
            _join(control, name)
        control.apply(
            messages.ApplyNote(
                1,
                hashlib.sha256(_WORKSPACE_NOTE.encode()).hexdigest(),
                'mair',
                _WORKSPACE_NOTE.encode(),
            )
        )
        index = control.machine.configuration.configuration.index
        assert index == control.machine.applied_index
        control.sessions = [
            {'node_id': 'siop-1', 'applied_index': index, 'heard_ago_s': 0.1},
            {
                'node_id': 'siop-2',
                'applied_index': index - 1,
                'heard_ago_s': 0.1,
            },
        ]
        rows = (await commands.show_where(control.client())).rows
        assert [(row['process'], row['in_force']) for row in rows] == [
            ('c1', 'yes'),
            ('c2', 'yes'),
            ('c3', 'yes'),
            ('siop-1', 'yes'),
            ('siop-2', 'not confirmed yet'),
            ('siop-3', 'unknown'),
        ]

    run(test)


_WORKSPACE_NOTE = """\
number = 1
[[added.workspaces]]
name = 'a'
rate = 1
burst = 1"""


def test_drain(run: _RunTest) -> None:
    """Guards against a drain without effect, or of a misspelled node."""

    async def test(control: fake_control.FakeControl) -> None:
        client = control.client()
        _join(control, 'siop-1')
        result = await commands.drain(client, 'siop-1')
        assert result.text == 'The upstream of siop-1 gets no new work.'
        (row,) = (await commands.list_members(client)).rows
        assert row['is_drained'] is True
        result = await commands.undrain(client, 'siop-1')
        assert result.text == 'The upstream of siop-1 gets work again.'
        (row,) = (await commands.list_members(client)).rows
        assert row['is_drained'] is False
        result = await commands.drain(client, 'soip-1')
        assert result.text.endswith("'soip-1' is not a member.")
        result = await commands.drain(client, '')
        assert not result.is_success

    run(test)


@dataclasses.dataclass
class _Operation:
    """An operation record and the expected start of its explanation."""

    name: str
    # Command that ends the claim; None for a claim that has not ended.
    end: messages.Message | None
    first_words: str


def _claim_fields(number: int) -> dict[str, typing.Any]:
    return {
        'operation_id': _operation_id(number),
        'attempt_id': messages.AttemptId('t'),
        'workspace': messages.WorkspaceName('a'),
    }


_OPERATIONS = [
    _Operation('claimed', None, 'UNKNOWN'),
    _Operation(
        'run',
        messages.Complete(
            outcome=errors.Outcome.RUN,
            status=201,
            body=b'private answer',
            **_claim_fields(1),
        ),
        'RUN.',
    ),
    _Operation(
        'unknown',
        messages.Complete(outcome=errors.Outcome.UNKNOWN, **_claim_fields(2)),
        'UNKNOWN',
    ),
    _Operation('released', messages.Release(**_claim_fields(3)), 'NOT RUN'),
]


def test_operation(run: _RunTest) -> None:
    """Guards against a wrong explanation of an operation's state."""

    async def test(control: fake_control.FakeControl) -> None:
        client = control.client()
        _join(control, 'siop-1')
        for number, operation in enumerate(_OPERATIONS):
            control.apply(
                messages.Claim(
                    request_digest=b'd',
                    node_id=messages.NodeId('siop-1'),
                    incarnation=7,
                    upstream='siop-1',
                    route_name='orders',
                    **_claim_fields(number),
                )
            )
            if operation.end is not None:
                control.apply(operation.end)
            text = (
                await commands.show_operation(client, _operation_id(number))
            ).to_text()
            assert text.splitlines()[1].startswith(operation.first_words)
            assert 'upstream: siop-1' in text
            assert 'private answer' not in text

    run(test)


def test_operation_in_another_spelling(run: _RunTest) -> None:
    """Guards against a record not found under another form of its id.

    Nodes accept ids without dashes, in upper case and in braces, so callers
    may tell the operator such a form.
    """
    known = _operation_id(1)

    async def test(control: fake_control.FakeControl) -> None:
        _join(control, 'siop-1')
        control.apply(
            messages.Claim(
                node_id=messages.NodeId('siop-1'),
                incarnation=7,
                **_claim_fields(1),
            )
        )
        for text in (
            known,
            known.upper(),
            known.replace('-', ''),
            f'{{{known}}}',
        ):
            result = await commands.show_operation(control.client(), text)
            assert 'of workspace' in result.text

    run(test)


def test_operation_without_record(run: _RunTest) -> None:
    """Guards against 'not run' for an id without a record."""

    async def test(control: fake_control.FakeControl) -> None:
        client = control.client()
        result = await commands.show_operation(client, _operation_id(9))
        assert result.text.startswith('NO RECORD')
        assert 'created at 2025-12-04 00:00:01.000+00:00' in result.text
        id_with_latest_time = 'ffffffff-ffff-7fff-bfff-ffffffffffff'
        assert (
            'ms after 1970'
            in (
                await commands.show_operation(client, id_with_latest_time)
            ).text
        )
        for text in (
            '',
            'x',
            '7',
            _operation_id(9)[:-1],
            '7f000000-0000-4000-8000-000000000000',
        ):
            with pytest.raises(commands.CommandError, match='is not a UUIDv7'):
                await commands.show_operation(client, text)

    run(test)


def test_quarantine(run: _RunTest) -> None:
    """Guards against lifting the quarantine of another request."""

    async def test(control: fake_control.FakeControl) -> None:
        client = control.client()
        fingerprints = [b'\xab' * 32, b'\xab' * 31 + b'\xac']
        for fingerprint in fingerprints:
            for number in range(3):
                control.apply(
                    messages.ReportCrash(
                        fingerprint=fingerprint,
                        workspace=messages.WorkspaceName('a'),
                        route_name='orders',
                        node_id=messages.NodeId('siop-1'),
                        upstream_incarnation=number + 1,
                    )
                )
        rows = (await commands.list_quarantine(client)).rows
        assert [row['is_quarantined'] for row in rows] == [True, True]
        for text, words in (
            ('', 'is not the start of a fingerprint'),
            ('abababa', 'is not the start of a fingerprint'),
            ('xyxyxyxy', 'is not the start of a fingerprint'),
            ('abababab', '2 requests have'),
            ('00000000', '0 requests have'),
        ):
            with pytest.raises(commands.CommandError, match=words):
                await commands.lift_quarantine(client, text)
        assert len(control.machine.quarantine.records) == 2
        result = await commands.lift_quarantine(client, fingerprints[0].hex())
        assert result.is_success
        assert list(control.machine.quarantine.records) == [fingerprints[1]]

    run(test)


def test_lost_reply_of_a_lift(run: _RunTest) -> None:
    """Guards against a lift reported as rejected after a lost reply."""

    async def test(control: fake_control.FakeControl) -> None:
        fingerprint = b'\xab' * 32
        control.apply(
            messages.ReportCrash(
                fingerprint=fingerprint,
                node_id=messages.NodeId('siop-1'),
                upstream_incarnation=1,
            )
        )
        client = control.client()

        original = client.query

        async def query(
            kind: messages.QueryKind, text: str = ''
        ) -> dict[str, typing.Any]:
            found = await original(kind, text)
            # Drops the reply to the lift, which follows the first query.
            client.query = original  # type: ignore[method-assign]
            control.replies_to_drop = 1
            return found

        client.query = query  # type: ignore[method-assign]
        result = await commands.lift_quarantine(client, fingerprint.hex())
        assert result.is_success
        assert not control.machine.quarantine.records

    run(test)


def test_new_key(run: _RunTest) -> None:
    """Guards against a digest that does not match the key."""

    async def test(control: fake_control.FakeControl) -> None:
        found = (await commands.create_key(control.client())).data
        digest = hashlib.sha256(found['key'].encode()).hexdigest()
        assert found['digest'] == digest
        assert control.requests == []

    run(test)


def test_unexpected_replies(run: _RunTest) -> None:
    """Guards against a traceback for a reply of an unexpected type."""

    class _Client(clients.ControlClient):
        async def request(self, request: typing.Any) -> messages.Message:
            return messages.Done()

    async def test(control: fake_control.FakeControl) -> None:
        original = control.client()
        client = _Client(original.options, original.fleet)
        with pytest.raises(errors.ControlError):
            await commands.drain(client, 'siop-1')
        with pytest.raises(errors.ControlError):
            await commands.list_members(client)

    run(test)


def test_state(run: _RunTest) -> None:
    """Guards against a traceback for an address that does not serve state."""

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b'\r\n\r\n')
        writer.write(b'HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\n<p>')
        writer.close()

    async def test(control: fake_control.FakeControl) -> None:
        client = control.client()
        for address in ('', 'x', 'localhost:80', '127.0.0.1', '127.0.0.1:0'):
            with pytest.raises(commands.CommandError, match='^ADDRESS '):
                await commands.dump_state(client, address)
        # The server returns an answer that is not JSON.
        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        async with server:
            with pytest.raises(commands.CommandError, match='^No state'):
                await commands.dump_state(client, f'127.0.0.1:{port}')
        with pytest.raises(commands.CommandError, match='^No state'):
            await commands.dump_state(client, f'127.0.0.1:{port}')

    run(test)


def test_table() -> None:
    """Guards against cells in the wrong column."""
    rows: list[dict[str, typing.Any]] = [
        {'a': 1, 'b': 'xx'},
        {'b': 'y', 'c': 'hidden'},
    ]
    assert commands.format_table(('a', 'b'), rows) == 'a  b\n1  xx\n   y'
    assert commands.format_table(('a',), []) == ''
