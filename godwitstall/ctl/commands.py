"""The commands of godwitstall-ctl, each a coroutine returning a Result."""

import collections.abc
import dataclasses
import datetime
import hashlib
import json
import pathlib
import re
import secrets
import typing
import uuid

import httpx

from godwitstall.configuration import note as notes
from godwitstall.ctl import client as client_module
from godwitstall.ctl import story
from godwitstall import errors
from godwitstall import messages
from godwitstall import setting_values

_KEY_BYTES = 32
_HTTP_TIMEOUT_S = 5.0
_UUID_V7 = 7
# The first 48 of the 128 bits are the Unix time in milliseconds.
_UUID_V7_TIME_SHIFT = 80
_Row = dict[str, typing.Any]

# Columns of the rows of rows_in_force().
IN_FORCE_COLUMNS = ('process', 'in_force', 'detail')


class CommandError(Exception):
    """Raised with the reason when a command cannot be executed."""


@dataclasses.dataclass
class Result:
    """Output and exit status of a command."""

    # One or more sentences, printed first.
    text: str
    # Rows of a table, printed after the text.
    rows: list[_Row] = dataclasses.field(default_factory=list)
    # Names of the columns of the table, in order.
    columns: tuple[str, ...] = ()
    # Data for --json; when empty, the rows are printed instead.
    data: dict[str, typing.Any] = dataclasses.field(default_factory=dict)
    # Whether the exit code is 0.
    is_success: bool = True

    def to_json(self) -> str:
        """Return the result as JSON."""
        data = self.data or {'rows': self.rows}
        return json.dumps(
            {'text': self.text, 'ok': self.is_success, **data}, indent=2
        )

    def to_text(self) -> str:
        """Return the result as human-readable text."""
        return '\n'.join(
            part
            for part in (self.text, format_table(self.columns, self.rows))
            if part
        )


CommandFunction = collections.abc.Callable[
    ..., collections.abc.Coroutine[typing.Any, typing.Any, Result]
]


def format_table(columns: tuple[str, ...], rows: list[_Row]) -> str:
    """Return rows as an aligned table with a header line."""
    if not rows:
        return ''
    cells = [list(columns)]
    cells += [[str(row.get(name, '')) for name in columns] for row in rows]
    widths = [max(len(line[i]) for line in cells) for i in range(len(columns))]
    return '\n'.join(
        '  '.join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in cells
    )


def format_time(milliseconds: int) -> str:
    """Return a human-readable Unix time in UTC, or '-' for 0."""
    if not milliseconds:
        return '-'
    try:
        time = datetime.datetime.fromtimestamp(
            milliseconds / 1000, datetime.timezone.utc
        )
    except (ValueError, OverflowError, OSError):
        # An operation id from a wrong clock may have a year above 9999.
        return f'{milliseconds} ms after 1970'
    return time.isoformat(sep=' ', timespec='milliseconds')


def _read_file(path: str) -> str:
    try:
        return pathlib.Path(path).read_text('utf-8')
    except (OSError, UnicodeDecodeError) as e:
        raise CommandError(f'{path}: cannot be read: {e}') from e


def _problems_result(path: str, problems: list[str]) -> Result:
    """Return the result for a note with problems."""
    return Result(
        '\n'.join(f'{path}: {problem}' for problem in problems),
        data={'problems': problems},
        is_success=False,
    )


async def check_note(client: client_module.ControlClient, path: str) -> Result:
    """Check a note against the configuration in force, without applying it.

    Problems of the note alone are reported without a request to control. A
    note that passes may still be rejected if another one is applied first.
    """
    text = _read_file(path)
    parsed = notes.parse(text)
    if parsed.problems:
        return _problems_result(path, parsed.problems)
    reply = await client.query(messages.QueryKind.NOTE_CHECK, text)
    if reply['problems']:
        return _problems_result(path, reply['problems'])
    if reply['is_in_force']:
        return Result(f'{path}: note {parsed.number} is in force already.')
    return Result(
        f'{path}: note {parsed.number} can be applied; note '
        f'{reply["number"]} is in force now.'
    )


async def apply_note(client: client_module.ControlClient, path: str) -> Result:
    """Apply a note and report the verdict."""
    text = _read_file(path)
    parsed = notes.parse(text)
    if parsed.problems:
        return _problems_result(path, parsed.problems)
    result = await client.propose(
        messages.ApplyNote(
            parsed.number,
            notes.digest_of(text),
            client.options.operator,
            text.encode(),
        )
    )
    if not isinstance(result, messages.NoteResult):
        raise CommandError('Control sent an unexpected reply.')
    return Result(*_describe_verdict(path, parsed.number, result))


def _describe_verdict(
    path: str, number: int, result: messages.NoteResult
) -> tuple[str, list[_Row], tuple[str, ...], dict[str, typing.Any], bool]:
    is_success = True
    match result.verdict:
        case messages.NoteVerdict.ACCEPTED:
            text = f'Note {number} is in force.'
        case messages.NoteVerdict.ALREADY_IN_FORCE:
            text = (
                f'Note {number} was in force already: accepted from '
                f'{result.operator!r} at {format_time(result.time_ms)}.'
            )
        case messages.NoteVerdict.NUMBER_TAKEN:
            is_success = False
            text = (
                f'Number {number} was taken by another note of '
                f'{result.operator!r} at {format_time(result.time_ms)}. '
                f'Nothing was changed.'
            )
        case messages.NoteVerdict.NUMBER_GAP:
            is_success = False
            text = f'Number {number} is too high. {result.detail}'
        case messages.NoteVerdict.INVALID:
            is_success = False
            text = '\n'.join(
                f'{path}: {line}' for line in result.detail.splitlines()
            )
    data = {
        'verdict': result.verdict.name.lower(),
        'number': number,
        'operator': result.operator,
        'time_ms': result.time_ms,
    }
    return text, [], (), data, is_success


async def list_notes(client: client_module.ControlClient) -> Result:
    """List accepted notes."""
    reply = await client.query(messages.QueryKind.NOTES)
    rows = [
        row
        | {'time': format_time(row['time_ms']), 'digest': row['digest'][:16]}
        for row in reply['notes']
    ]
    return Result(
        f'{len(rows)} notes.', rows, ('number', 'operator', 'time', 'digest')
    )


async def show_configuration(client: client_module.ControlClient) -> Result:
    """Show the configuration in force."""
    reply = await client.query(messages.QueryKind.CONFIGURATION)
    parts = [f'Note {reply["number"]} is in force.']
    for title, columns in (
        ('workspaces', ('name', 'rate', 'burst')),
        ('keys', ('key_id', 'workspace')),
        (
            'routes',
            (
                'name',
                'path_prefix',
                'methods',
                'service',
                'priority',
                'is_idempotent',
                'is_open',
                'attempts',
                'dispatch_attempts',
                'timeout_ms',
            ),
        ),
        ('upstreams', ('name', 'service', 'max_slots', 'is_withdrawn')),
        ('services', ('name', 'cold_start_ms', 'cold_per_s')),
    ):
        parts += [
            '',
            f'{title}:',
            format_table(columns, reply.get(title, [])) or 'none',
        ]
    return Result('\n'.join(parts), data=reply)


async def show_where(client: client_module.ControlClient) -> Result:
    """Show for each process whether it uses the configuration in force."""
    reply = await client.query(messages.QueryKind.CONFIGURATION)
    return Result(
        f'Note {reply["number"]}.',
        await rows_in_force(client, reply['index']),
        IN_FORCE_COLUMNS,
    )


async def rows_in_force(
    client: client_module.ControlClient, index: int
) -> list[_Row]:
    """Return for each process whether it has applied the log up to index."""
    rows: list[_Row] = []
    nodes: dict[str, _Row] = {}
    for slot in client.fleet.control:
        try:
            status = await client.query_status(slot)
        except errors.GodwitstallError as e:
            rows.append(
                {'process': slot, 'in_force': 'unknown', 'detail': e.detail}
            )
            continue
        is_applied = status['applied_index'] >= index
        detail = 'leader' if status['is_leader'] else 'follower'
        rows.append(
            {
                'process': slot,
                'in_force': 'yes' if is_applied else 'no',
                'detail': detail,
            }
        )
        for session in status['sessions']:
            is_applied = session['applied_index'] >= index
            nodes[session['node_id']] = {
                'process': session['node_id'],
                'in_force': 'yes' if is_applied else 'not confirmed yet',
                'detail': f'heard {session["heard_ago_s"]} s ago by {slot}',
            }
    members = await client.query(messages.QueryKind.MEMBERS)
    for member in members['members']:
        nodes.setdefault(
            member['node_id'],
            {
                'process': member['node_id'],
                'in_force': 'unknown',
                'detail': 'no session; it refuses calls when its lease ends',
            },
        )
    return rows + [nodes[name] for name in sorted(nodes)]


async def list_members(client: client_module.ControlClient) -> Result:
    """List nodes and their upstreams."""
    reply = await client.query(messages.QueryKind.MEMBERS)
    rows = sorted(reply['members'], key=lambda row: row['node_id'])
    return Result(
        f'{len(rows)} members.',
        rows,
        (
            'node_id',
            'service',
            'zone',
            'region',
            'address',
            'state',
            'is_drained',
            'slots',
        ),
    )


async def _set_drained(
    client: client_module.ControlClient, node: str, is_drained: bool
) -> Result:
    result = await client.propose(
        messages.Drain(
            messages.NodeId(node), is_drained, client.options.operator
        )
    )
    if not isinstance(result, messages.CommandResult):
        raise CommandError('Control sent an unexpected reply.')
    effect = 'gets no new work' if is_drained else 'gets work again'
    if result.is_accepted:
        # The detail is not empty if the node is not a member, for example
        # because its name is misspelled.
        text = f'The upstream of {node} {effect}. {result.detail}'
        return Result(text.rstrip())
    return Result(result.detail, is_success=False)


async def drain(client: client_module.ControlClient, node: str) -> Result:
    """Stop sending new work to an upstream."""
    return await _set_drained(client, node, True)


async def undrain(client: client_module.ControlClient, node: str) -> Result:
    """Resume sending work to an upstream."""
    return await _set_drained(client, node, False)


# Explanation of each record state, which operators read out to callers.
_OPERATION_STATE_TEXTS = {
    'claimed': (
        'UNKNOWN. It was sent to an upstream and no outcome is recorded '
        'yet. It is running, or its node was lost. It will not be run again.'
    ),
    'run': 'RUN. The upstream returned a complete answer.',
    'unknown': (
        'UNKNOWN. It was sent to an upstream, which returned no complete '
        'answer. It will not be run again.'
    ),
    'released': 'NOT RUN. Every attempt ended before it reached an upstream.',
}


async def show_operation(
    client: client_module.ControlClient, operation_id: str
) -> Result:
    """Show whether an operation was run."""
    try:
        parsed = uuid.UUID(operation_id)
    except ValueError:
        parsed = None
    if parsed is None or parsed.version != _UUID_V7:
        raise CommandError(f'{operation_id!r} is not a UUIDv7.')
    # Nodes store records under the canonical text form of the id.
    reply = await client.query(messages.QueryKind.OPERATION, str(parsed))
    records = reply['operations']
    if not records:
        created = format_time(parsed.int >> _UUID_V7_TIME_SHIFT)
        return Result(
            f'NO RECORD of operation {parsed}, whose id was created at '
            f'{created}. A record is kept after that for the time in the '
            f'control setting operation_lifetime_s, 24 h by default. Until '
            f'then, no record means NOT RUN on any route that is not '
            f'idempotent; afterwards nothing is known. Idempotent routes keep '
            f'no record.',
            data=reply,
        )
    parts = []
    for record in records:
        parts += [
            f'Operation {record["operation_id"]} of workspace '
            f'{record["workspace"]!r}:',
            _OPERATION_STATE_TEXTS[record['state']],
            f'  route:    {record["route_name"]}',
            f'  upstream: {record["upstream"]}',
            f'  claimed:  {format_time(record["claimed_ms"])}, '
            f'{record["claims"]} claims in all',
            f'  ended:    {format_time(record["ended_ms"])}',
            f'  status:   {record["status"] or "-"}',
        ]
    return Result('\n'.join(parts), data=reply)


async def list_quarantine(client: client_module.ControlClient) -> Result:
    """List suspects and quarantined requests."""
    reply = await client.query(messages.QueryKind.QUARANTINE)
    rows = [
        row
        | {
            'fingerprint': row['fingerprint'][:16],
            'last': format_time(row['last_time_ms']),
        }
        for row in reply['quarantines']
    ]
    return Result(
        f'{len(rows)} requests.',
        rows,
        (
            'fingerprint',
            'workspace',
            'route_name',
            'reports',
            'is_quarantined',
            'last',
        ),
        reply,
    )


async def lift_quarantine(
    client: client_module.ControlClient, fingerprint: str
) -> Result:
    """Lift the quarantine of a request."""
    if not re.fullmatch('[0-9a-fA-F]{8,64}', fingerprint):
        raise CommandError(
            f'{fingerprint!r} is not the start of a fingerprint: at least 8 '
            f'hex digits.'
        )
    reply = await client.query(messages.QueryKind.QUARANTINE, fingerprint)
    matches = reply['quarantines']
    if len(matches) != 1:
        raise CommandError(
            f'{len(matches)} requests have a fingerprint that starts with '
            f'{fingerprint!r}.'
        )
    result = await client.propose(
        messages.Lift(
            bytes.fromhex(matches[0]['fingerprint']), client.options.operator
        )
    )
    if not isinstance(result, messages.CommandResult):
        raise CommandError('Control sent an unexpected reply.')
    if not result.is_accepted:
        # A command resent after a lost reply is rejected because the record
        # is gone already, which counts as success.
        reply = await client.query(
            messages.QueryKind.QUARANTINE, matches[0]['fingerprint']
        )
        if reply['quarantines']:
            return Result(result.detail, is_success=False)
    return Result('The request may run again.')


async def create_key(client: client_module.ControlClient) -> Result:
    """Generate a key and the digest that a release note contains."""
    del client
    key = secrets.token_urlsafe(_KEY_BYTES)
    digest = hashlib.sha256(key.encode()).hexdigest()
    return Result(
        f'key:    {key}\ndigest: {digest}\n'
        f'Give the key to the caller and put the digest into a note. '
        f'The key is not stored anywhere.',
        data={'key': key, 'digest': digest},
    )


async def show_story(
    client: client_module.ControlClient, request_id: str, folder: str
) -> Result:
    """Show the log lines about one request from the logs in a folder."""
    del client
    paths = sorted(path for path in pathlib.Path(folder).glob('*.log'))
    if not paths:
        raise CommandError(f'FOLDER {folder!r} has no files *.log')
    try:
        rows = story.find_rows(story.read_lines(paths), request_id)
    except OSError as e:
        raise CommandError(f'{e.filename} cannot be read: {e.strerror}') from e
    if not rows:
        return Result(
            f'No line of {len(paths)} files is about {request_id}.',
            is_success=False,
        )
    return Result(
        f'{len(rows)} lines about {request_id}.', rows, story.COLUMNS
    )


async def dump_state(
    client: client_module.ControlClient, address: str
) -> Result:
    """Dump the state of a process from its admin listener."""
    del client
    try:
        setting_values.check_address(address)
    except ValueError as e:
        raise CommandError(f'ADDRESS {e}') from e
    try:
        async with httpx.AsyncClient(timeout=_HTTP_TIMEOUT_S) as session:
            response = await session.get(f'http://{address}/state')
            response.raise_for_status()
            state = response.json()
    except (httpx.HTTPError, ValueError) as e:
        cause = ' '.join(str(e).split()) or type(e).__name__
        raise CommandError(f'No state from {address}: {cause}') from e
    return Result(json.dumps(state, indent=2), data=state)
