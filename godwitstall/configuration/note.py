"""Parsing and checking of release notes, which change the configuration.

A note is a TOML text with a number and up to three tables. Entries of [added]
are complete, entries of [changed] contain only the fields to change, and
[withdrawn] lists names. One pass finds all problems; each is reported as a
line 'location: cause'.

Example:
    number = 7
    [[added.workspaces]]
    name = "siop-1"
    rate = 120
    burst = 240
    [withdrawn]
    keys = ["siop-1-old"]
"""

import collections.abc
import dataclasses
import hashlib
import re
import reprlib
import tomllib
import typing

from godwitstall import messages

# Longest accepted note. Replicas apply no other command while they apply a
# note, so its length bounds their pause.
MAX_NOTE_CHARS = 1024 * 1024
# TOML integers have 64 bits, signed.
MAX_NOTE_NUMBER = 2**63 - 1
# Timeout of a call when its route sets none, milliseconds.
DEFAULT_TIMEOUT_MS = 10_000

_TABLE_NAMES = ('added', 'changed', 'withdrawn')

# Shortens values in problems, because they may be large or deeply nested.
_short_repr = reprlib.Repr()
_short_repr.maxstring = 80
_short_repr.maxother = 80

_Validator = collections.abc.Callable[[typing.Any], typing.Any]


def _validate_text(value: typing.Any) -> str:
    # Names are sent in HTTP headers, so they must be printable ASCII.
    if not isinstance(value, str) or not re.fullmatch(
        '[!-~]([ -~]{0,254}[!-~])?', value
    ):
        raise ValueError(
            f'must be 1 to 256 printable ASCII characters, not '
            f'{_short_repr.repr(value)}'
        )
    return value


def _format_key(name: str) -> str:
    """Format a key of the note for a problem, which is a single line."""
    if re.fullmatch('[A-Za-z0-9_-]{1,64}', name):
        return name
    return _short_repr.repr(name)


def _validate_bool(value: typing.Any) -> bool:
    if not isinstance(value, bool):
        raise ValueError(
            f'must be true or false, not {_short_repr.repr(value)}'
        )
    return value


def _int_validator(low: int, high: int) -> _Validator:
    def validate(value: typing.Any) -> int:
        if isinstance(value, bool) or not isinstance(value, int):
            raise ValueError(
                f'must be an integer, not {_short_repr.repr(value)}'
            )
        if not low <= value <= high:
            raise ValueError(f'must be from {low} to {high}, not {value}')
        return value

    return validate


def _validate_rate(value: typing.Any) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError(f'must be a number, not {_short_repr.repr(value)}')
    # Written so that the condition also rejects nan, which TOML allows.
    if not 0 < value <= 1e9:
        raise ValueError(f'must be above 0 and at most 1e9, not {value}')
    return float(value)


def _validate_digest(value: typing.Any) -> str:
    if not isinstance(value, str) or not re.fullmatch(
        '[0-9a-fA-F]{64}', value
    ):
        raise ValueError('must be a SHA-256 digest of 64 hex digits')
    # Nodes look up keys by the digest in lower case.
    return value.lower()


def _validate_path_prefix(value: typing.Any) -> str:
    if not _validate_text(value).startswith('/'):
        raise ValueError(f'must start with /, not {_short_repr.repr(value)}')
    return typing.cast(str, value)


def _validate_methods(value: typing.Any) -> list[str]:
    if not isinstance(value, list) or not all(
        isinstance(item, str) and re.fullmatch('[A-Z]{1,16}', item)
        for item in value
    ):
        raise ValueError(
            f'must be a list of upper-case methods, not '
            f'{_short_repr.repr(value)}'
        )
    return value


def _validate_service(value: typing.Any) -> str:
    if not isinstance(value, str) or not value.strip():
        raise ValueError('must name a service')
    return _validate_text(value)


def _validate_priority(value: typing.Any) -> messages.Priority:
    names = [priority.name.lower() for priority in messages.Priority]
    if not isinstance(value, str) or value not in names:
        raise ValueError(
            f'must be one of {", ".join(names)}, not {_short_repr.repr(value)}'
        )
    return messages.Priority.__members__[value.upper()]


class _FieldSchema(typing.NamedTuple):
    """A key that an entry may contain."""

    # Attribute of the message that the key sets.
    attribute: str
    # Returns the value of the attribute, or raises ValueError.
    validate: _Validator
    # Whether entries of [added] must contain the key.
    is_required: bool = False


class _EntrySchema(typing.NamedTuple):
    """An array of entries, such as [[added.routes]]."""

    # Key that holds the name of an entry.
    name_key: str
    # Attribute of the message that holds the name.
    name_attribute: str
    # Message class of the configuration items.
    message_class: typing.Any
    # All other keys.
    fields: dict[str, _FieldSchema]


_ATTEMPTS_VALIDATOR = _int_validator(1, 10_000)

ENTRY_SCHEMAS: dict[str, _EntrySchema] = {
    'workspaces': _EntrySchema(
        'name',
        'name',
        messages.Workspace,
        {
            'rate': _FieldSchema('rate', _validate_rate, True),
            'burst': _FieldSchema('burst', _int_validator(1, 10**9), True),
        },
    ),
    'keys': _EntrySchema(
        'id',
        'key_id',
        messages.Key,
        {
            'workspace': _FieldSchema('workspace', _validate_text, True),
            'digest': _FieldSchema('digest', _validate_digest, True),
        },
    ),
    'routes': _EntrySchema(
        'name',
        'name',
        messages.Route,
        {
            'path_prefix': _FieldSchema(
                'path_prefix', _validate_path_prefix, True
            ),
            'methods': _FieldSchema('methods', _validate_methods),
            'service': _FieldSchema('service', _validate_service, True),
            'priority': _FieldSchema('priority', _validate_priority),
            'idempotent': _FieldSchema('is_idempotent', _validate_bool),
            'open': _FieldSchema('is_open', _validate_bool),
            'attempts': _FieldSchema('attempts', _ATTEMPTS_VALIDATOR),
            'dispatch_attempts': _FieldSchema(
                'dispatch_attempts', _ATTEMPTS_VALIDATOR
            ),
            'timeout_ms': _FieldSchema(
                'timeout_ms', _int_validator(1, 3_600_000)
            ),
        },
    ),
    'services': _EntrySchema(
        'name',
        'name',
        messages.ServiceRule,
        {
            'cold_start_ms': _FieldSchema(
                'cold_start_ms', _int_validator(0, 3_600_000)
            ),
            'cold_per_s': _FieldSchema('cold_per_s', _validate_rate, True),
        },
    ),
    'upstreams': _EntrySchema(
        'name',
        'name',
        messages.UpstreamRule,
        {
            'service': _FieldSchema('service', _validate_service, True),
            'max_slots': _FieldSchema(
                'max_slots', _int_validator(0, 1_000_000)
            ),
        },
    ),
}


@dataclasses.dataclass
class Entry:
    """One entry of a note."""

    # Position in the note, for example 'added.routes[2]'.
    location: str
    # Name, unique within the kind.
    name: str
    # Message attributes set by the entry.
    values: dict[str, typing.Any]


@dataclasses.dataclass
class Note:
    """A parsed note."""

    # Number of the note; 0 when missing or invalid.
    number: int = 0
    # Entries by table and kind, for example ('added', 'routes').
    entries: dict[tuple[str, str], list[Entry]] = dataclasses.field(
        default_factory=dict
    )
    # Lines 'location: cause'.
    problems: list[str] = dataclasses.field(default_factory=list)


def digest_of(text: str) -> str:
    """Return the digest by which a resent note is recognised.

    A byte order mark, the kind of line endings and white space at the end of
    the text are ignored, so a note has the same digest after an editor or a
    checkout has converted its line endings.
    """
    normalized = text.removeprefix('\ufeff').replace('\r\n', '\n').rstrip()
    return hashlib.sha256(
        normalized.encode('utf-8', 'surrogatepass')
    ).hexdigest()


def parse(text: str) -> Note:
    """Parse a note; find all problems that do not depend on the state.

    Example: parse('number = 1').number == 1
    """
    note = Note()
    if len(text) > MAX_NOTE_CHARS:
        note.problems.append(
            f'note: is longer than {MAX_NOTE_CHARS} characters'
        )
        return note
    try:
        document = tomllib.loads(text.removeprefix('\ufeff'))
    except ValueError as e:
        note.problems.append(f'note: is not valid TOML: {e}')
        return note
    except RecursionError:
        note.problems.append('note: is nested too deeply')
        return note
    try:
        note.number = _int_validator(1, MAX_NOTE_NUMBER)(
            document.pop('number')
        )
    except KeyError:
        note.problems.append('number: is missing')
    except ValueError as e:
        note.problems.append(f'number: {e}')
    for table_name, table in document.items():
        if table_name not in _TABLE_NAMES:
            note.problems.append(f'{_format_key(table_name)}: unknown key')
        elif not isinstance(table, dict):
            note.problems.append(f'{table_name}: must be a table')
        else:
            _parse_table(note, table_name, table)
    if not note.entries and not note.problems:
        note.problems.append('note: changes nothing')
    return note


def _parse_table(
    note: Note, table_name: str, table: dict[str, typing.Any]
) -> None:
    for kind, items in table.items():
        location = f'{table_name}.{kind}'
        if kind not in ENTRY_SCHEMAS:
            note.problems.append(
                f'{table_name}.{_format_key(kind)}: unknown key'
            )
            continue
        if not isinstance(items, list):
            note.problems.append(f'{location}: must be an array')
            continue
        parse_entry = (
            _parse_withdrawn if table_name == 'withdrawn' else _parse_entry
        )
        entries = note.entries.setdefault((table_name, kind), [])
        for i, item in enumerate(items):
            entry = parse_entry(note, f'{location}[{i}]', kind, item)
            if entry is not None:
                entries.append(entry)


def _parse_withdrawn(
    note: Note, location: str, kind: str, item: typing.Any
) -> Entry | None:
    try:
        return Entry(location, _validate_text(item), {})
    except ValueError as e:
        note.problems.append(f'{location}: {e}')
        return None


def _parse_entry(
    note: Note, location: str, kind: str, item: typing.Any
) -> Entry | None:
    schema = ENTRY_SCHEMAS[kind]
    if not isinstance(item, dict):
        note.problems.append(f'{location}: must be a table')
        return None
    problems: list[str] = []
    values: dict[str, typing.Any] = {}
    name = ''
    for key, value in item.items():
        try:
            if key == schema.name_key:
                name = _validate_text(value)
            elif key in schema.fields:
                field = schema.fields[key]
                values[field.attribute] = field.validate(value)
            else:
                problems.append(f'{location}.{_format_key(key)}: unknown key')
        except ValueError as e:
            problems.append(f'{location}.{key}: {e}')
    required_keys = [schema.name_key]
    if location.startswith('added.'):
        required_keys += [
            key for key, f in schema.fields.items() if f.is_required
        ]
    problems += [
        f'{location}.{key}: is missing'
        for key in required_keys
        if key not in item
    ]
    if not values and not problems:
        problems.append(f'{location}: changes nothing')
    note.problems += problems
    # An entry with an invalid field still counts as added, so that entries
    # that refer to it do not cause further problems.
    return Entry(location, name, values) if name else None


def build(
    note: Note, current: messages.Configuration
) -> tuple[messages.Configuration, list[str]]:
    """Return the configuration that results from a note, and all problems.

    The result must be used only if there are no problems. The current
    configuration is not modified.
    """
    problems = list(note.problems)
    items_by_kind: dict[str, dict[str, typing.Any]] = {}
    locations: dict[tuple[str, str], str] = {}
    for kind, schema in ENTRY_SCHEMAS.items():
        items = {
            getattr(item, schema.name_attribute): item
            for item in getattr(current, kind)
        }
        items_by_kind[kind] = items
        for table_name in _TABLE_NAMES:
            for entry in note.entries.get((table_name, kind), []):
                kind_and_name = (kind, entry.name)
                if kind_and_name in locations:
                    problems.append(
                        f'{entry.location}: {entry.name!r} is already listed '
                        f'at {locations[kind_and_name]}'
                    )
                    continue
                locations[kind_and_name] = entry.location
                problem = _apply_entry(table_name, schema, items, entry)
                if problem:
                    problems.append(f'{entry.location}: {problem}')
    problems += _key_problems(items_by_kind, locations)
    problems += _route_problems(items_by_kind, locations)
    return messages.Configuration(
        number=note.number,
        workspaces=list(items_by_kind['workspaces'].values()),
        keys=list(items_by_kind['keys'].values()),
        routes=list(items_by_kind['routes'].values()),
        upstreams=list(items_by_kind['upstreams'].values()),
        services=list(items_by_kind['services'].values()),
    ), problems


def _apply_entry(
    table_name: str,
    schema: _EntrySchema,
    items: dict[str, typing.Any],
    entry: Entry,
) -> str:
    """Apply an entry to items; return the problem, or '' on success."""
    old: typing.Any = items.get(entry.name)
    is_present = old is not None and not getattr(old, 'is_withdrawn', False)
    if table_name == 'added':
        if is_present:
            return f'{entry.name!r} already exists'
        item = schema.message_class(
            **{schema.name_attribute: entry.name}, **entry.values
        )
        if isinstance(item, messages.Route):
            item.dispatch_attempts = item.dispatch_attempts or 1
            item.attempts = item.attempts or 2 * item.dispatch_attempts
            item.timeout_ms = item.timeout_ms or DEFAULT_TIMEOUT_MS
        items[entry.name] = item
        return ''
    if not is_present:
        return f'{entry.name!r} does not exist'
    if table_name == 'changed':
        items[entry.name] = dataclasses.replace(old, **entry.values)
    elif isinstance(old, messages.UpstreamRule):
        # The rule is kept, because upstreams announce themselves: without a
        # rule the upstream would receive work again.
        items[entry.name] = dataclasses.replace(old, is_withdrawn=True)
    else:
        del items[entry.name]
    return ''


def _key_problems(
    items_by_kind: dict[str, dict[str, typing.Any]],
    locations: dict[tuple[str, str], str],
) -> list[str]:
    problems = []
    key_id_by_digest: dict[str, str] = {}
    for key in items_by_kind['keys'].values():
        location = locations.get(('keys', key.key_id), f'keys.{key.key_id}')
        if key.workspace and key.workspace not in items_by_kind['workspaces']:
            workspace_location = locations.get(('workspaces', key.workspace))
            if workspace_location and ('keys', key.key_id) not in locations:
                problems.append(
                    f'{workspace_location}: workspace '
                    f'{key.workspace!r} still has key {key.key_id!r}'
                )
            else:
                problems.append(
                    f'{location}.workspace: unknown workspace '
                    f'{key.workspace!r}'
                )
        if key.digest and key.digest in key_id_by_digest:
            problems.append(
                f'{location}.digest: is already used by key '
                f'{key_id_by_digest[key.digest]!r}'
            )
        key_id_by_digest.setdefault(key.digest, key.key_id)
    return problems


def _route_problems(
    items_by_kind: dict[str, dict[str, typing.Any]],
    locations: dict[tuple[str, str], str],
) -> list[str]:
    problems = []
    route_by_match: dict[tuple[str, str], str] = {}
    for route in items_by_kind['routes'].values():
        location = locations.get(
            ('routes', route.name), f'routes.{route.name}'
        )
        if route.attempts < route.dispatch_attempts:
            problems.append(
                f'{location}.attempts: must be at least dispatch_attempts '
                f'({route.dispatch_attempts}), not {route.attempts}'
            )
        for method in sorted(set(route.methods)) or ['']:
            other = route_by_match.setdefault(
                (route.path_prefix, method), route.name
            )
            if other != route.name and route.path_prefix:
                problems.append(
                    f'{location}: has the path_prefix and method of route '
                    f'{other!r}'
                )
                break
    return problems
