"""Release notes: TOML text to a checked change of the configuration.

A note has a number and up to three tables. Entries of [added] are complete,
entries of [changed] name only the fields that change, and [withdrawn] lists
names. Every problem is one line 'place: cause'; all are found in one pass.

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

# Bounds the time that one note holds up the replicas, characters.
MAX_NOTE_LENGTH = 1024 * 1024
# The number travels as a signed 64-bit integer in TOML.
MAX_NUMBER = 2**63 - 1
# Longest time for one call when the route names none, milliseconds.
DEFAULT_TIMEOUT_MS = 10_000

_TABLES = ('added', 'changed', 'withdrawn')

# Shortens values in problems; values may be large or deeply nested.
_shorten = reprlib.Repr()
_shorten.maxstring = 80
_shorten.maxother = 80

_Check = collections.abc.Callable[[typing.Any], typing.Any]


def _text(value: typing.Any) -> str:
    # Names travel in HTTP headers, so they are printable ASCII.
    if not isinstance(value, str) or not re.fullmatch(
        '[!-~]([ -~]{0,254}[!-~])?', value
    ):
        raise ValueError(
            f'must be 1 to 256 printable ASCII characters, not '
            f'{_shorten.repr(value)}'
        )
    return value


def _key(name: str) -> str:
    """Return a key of the note so that it fits on one line."""
    if re.fullmatch('[A-Za-z0-9_-]{1,64}', name):
        return name
    return _shorten.repr(name)


def _flag(value: typing.Any) -> bool:
    if not isinstance(value, bool):
        raise ValueError(f'must be true or false, not {_shorten.repr(value)}')
    return value


def _whole(low: int, high: int) -> _Check:
    def check(value: typing.Any) -> int:
        if isinstance(value, bool) or not isinstance(value, int):
            raise ValueError(
                f'must be a whole number, not {_shorten.repr(value)}'
            )
        if not low <= value <= high:
            raise ValueError(f'must be from {low} to {high}, not {value}')
        return value

    return check


def _rate(value: typing.Any) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError(f'must be a number, not {_shorten.repr(value)}')
    # The form of the comparison also refuses nan, which TOML allows.
    if not 0 < value <= 1e9:
        raise ValueError(f'must be above 0 and at most 1e9, not {value}')
    return float(value)


def _digest(value: typing.Any) -> str:
    if not isinstance(value, str) or not re.fullmatch(
        '[0-9a-fA-F]{64}', value
    ):
        raise ValueError('must be a SHA-256 of 64 hex digits')
    # Nodes look keys up by the lower-case form.
    return value.lower()


def _path_prefix(value: typing.Any) -> str:
    if not _text(value).startswith('/'):
        raise ValueError(f'must start with /, not {_shorten.repr(value)}')
    return typing.cast(str, value)


def _methods(value: typing.Any) -> list[str]:
    if not isinstance(value, list) or not all(
        isinstance(item, str) and re.fullmatch('[A-Z]{1,16}', item)
        for item in value
    ):
        raise ValueError(
            f'must list methods in capitals, not {_shorten.repr(value)}'
        )
    return value


def _service(value: typing.Any) -> str:
    if not isinstance(value, str) or not value.strip():
        raise ValueError('leads to no service')
    return _text(value)


def _priority(value: typing.Any) -> messages.Priority:
    names = [priority.name.lower() for priority in messages.Priority]
    if not isinstance(value, str) or value not in names:
        raise ValueError(
            f'must be one of {", ".join(names)}, not {_shorten.repr(value)}'
        )
    return messages.Priority[value.upper()]


class _Field(typing.NamedTuple):
    """One key of an entry."""

    # Attribute of the message.
    attribute: str
    # Returns the value for the attribute or raises ValueError.
    check: _Check
    # Whether [added] must name it.
    is_required: bool = False


class _Kind(typing.NamedTuple):
    """One array of entries."""

    # Key that names an entry.
    name_key: str
    # Attribute of the message that holds the name.
    name_attribute: str
    # Message class.
    message: typing.Any
    # Keys besides the name.
    fields: dict[str, _Field]


_ATTEMPTS = _whole(1, 10_000)

KINDS: dict[str, _Kind] = {
    'workspaces': _Kind(
        'name',
        'name',
        messages.Workspace,
        {
            'rate': _Field('rate', _rate, True),
            'burst': _Field('burst', _whole(1, 10**9), True),
        },
    ),
    'keys': _Kind(
        'id',
        'key_id',
        messages.Key,
        {
            'workspace': _Field('workspace', _text, True),
            'digest': _Field('digest', _digest, True),
        },
    ),
    'routes': _Kind(
        'name',
        'name',
        messages.Route,
        {
            'path_prefix': _Field('path_prefix', _path_prefix, True),
            'methods': _Field('methods', _methods),
            'service': _Field('service', _service, True),
            'priority': _Field('priority', _priority),
            'idempotent': _Field('is_idempotent', _flag),
            'open': _Field('is_open', _flag),
            'attempts': _Field('attempts', _ATTEMPTS),
            'dispatch_attempts': _Field('dispatch_attempts', _ATTEMPTS),
            'timeout_ms': _Field('timeout_ms', _whole(1, 3_600_000)),
        },
    ),
    'upstreams': _Kind(
        'name',
        'name',
        messages.UpstreamRule,
        {
            'service': _Field('service', _service, True),
            'max_slots': _Field('max_slots', _whole(0, 1_000_000)),
        },
    ),
}


@dataclasses.dataclass
class Entry:
    """One entry of a note."""

    # For example 'added.routes[2]'.
    place: str
    # Name in its kind.
    name: str
    # Attributes of the message that the entry sets.
    values: dict[str, typing.Any]


@dataclasses.dataclass
class Note:
    """A parsed note."""

    # Number of the note; 0 when it is missing or wrong.
    number: int = 0
    # Entries by (table, kind).
    entries: dict[tuple[str, str], list[Entry]] = dataclasses.field(
        default_factory=dict
    )
    # Lines 'place: cause'.
    problems: list[str] = dataclasses.field(default_factory=list)


def digest_of(text: str) -> str:
    """Return the digest that ties a resend to the accepted note.

    Line ends and white space at the end do not count, so a file that passed
    through an editor or a checkout with other line ends is the same note.
    """
    lines = text.removeprefix('\ufeff').replace('\r\n', '\n').rstrip()
    return hashlib.sha256(lines.encode('utf-8', 'surrogatepass')).hexdigest()


def parse(text: str) -> Note:
    """Return the note in text with all problems that need no state.

    Example: parse('number = 1').number == 1
    """
    note = Note()
    if len(text) > MAX_NOTE_LENGTH:
        note.problems.append(f'note: has over {MAX_NOTE_LENGTH} characters')
        return note
    try:
        tables = tomllib.loads(text.removeprefix('\ufeff'))
    except ValueError as e:
        note.problems.append(f'note: is no TOML: {e}')
        return note
    except RecursionError:
        note.problems.append('note: is nested too deeply')
        return note
    try:
        note.number = _whole(1, MAX_NUMBER)(tables.pop('number'))
    except KeyError:
        note.problems.append('number: is missing')
    except ValueError as e:
        note.problems.append(f'number: {e}')
    for name, table in tables.items():
        if name not in _TABLES:
            note.problems.append(f'{_key(name)}: unknown key')
        elif not isinstance(table, dict):
            note.problems.append(f'{name}: must be a table')
        else:
            _parse_table(note, name, table)
    if not note.entries and not note.problems:
        note.problems.append('note: changes nothing')
    return note


def _parse_table(
    note: Note, table_name: str, table: dict[str, typing.Any]
) -> None:
    for kind_name, items in table.items():
        place = f'{table_name}.{kind_name}'
        if kind_name not in KINDS:
            note.problems.append(
                f'{table_name}.{_key(kind_name)}: unknown key'
            )
            continue
        if not isinstance(items, list):
            note.problems.append(f'{place}: must be an array')
            continue
        parse_entry = (
            _parse_name if table_name == 'withdrawn' else _parse_entry
        )
        entries = note.entries.setdefault((table_name, kind_name), [])
        for number, item in enumerate(items):
            entry = parse_entry(note, f'{place}[{number}]', kind_name, item)
            if entry is not None:
                entries.append(entry)


def _parse_name(
    note: Note, place: str, kind_name: str, item: typing.Any
) -> Entry | None:
    try:
        return Entry(place, _text(item), {})
    except ValueError as e:
        note.problems.append(f'{place}: {e}')
        return None


def _parse_entry(
    note: Note, place: str, kind_name: str, item: typing.Any
) -> Entry | None:
    kind = KINDS[kind_name]
    if not isinstance(item, dict):
        note.problems.append(f'{place}: must be a table')
        return None
    found: list[str] = []
    values: dict[str, typing.Any] = {}
    name = ''
    for key, value in item.items():
        try:
            if key == kind.name_key:
                name = _text(value)
            elif key in kind.fields:
                field = kind.fields[key]
                values[field.attribute] = field.check(value)
            else:
                found.append(f'{place}.{_key(key)}: unknown key')
        except ValueError as e:
            found.append(f'{place}.{key}: {e}')
    needed = [kind.name_key]
    if place.startswith('added.'):
        needed += [key for key, f in kind.fields.items() if f.is_required]
    found += [
        f'{place}.{key}: is missing' for key in needed if key not in item
    ]
    if not values and not found:
        found.append(f'{place}: changes nothing')
    note.problems += found
    # An entry with a wrong field still counts as added, so that other
    # entries that refer to it cause no second problem.
    return Entry(place, name, values) if name else None


def build(
    note: Note, current: messages.Configuration
) -> tuple[messages.Configuration, list[str]]:
    """Return the configuration after the note, and all problems.

    The configuration is meaningful only when there are no problems. The
    current one is not modified.
    """
    problems = list(note.problems)
    after: dict[str, dict[str, typing.Any]] = {}
    places: dict[tuple[str, str], str] = {}
    for kind_name, kind in KINDS.items():
        items = {
            getattr(item, kind.name_attribute): item
            for item in getattr(current, kind_name)
        }
        after[kind_name] = items
        for table in _TABLES:
            for entry in note.entries.get((table, kind_name), []):
                key = (kind_name, entry.name)
                if key in places:
                    problems.append(
                        f'{entry.place}: {entry.name!r} stands already at '
                        f'{places[key]}'
                    )
                    continue
                places[key] = entry.place
                problem = _change(table, kind, items, entry)
                if problem:
                    problems.append(f'{entry.place}: {problem}')
    problems += _key_problems(after, places)
    problems += _route_problems(after, places)
    return messages.Configuration(
        number=note.number,
        workspaces=list(after['workspaces'].values()),
        keys=list(after['keys'].values()),
        routes=list(after['routes'].values()),
        upstreams=list(after['upstreams'].values()),
    ), problems


def _change(
    table: str, kind: _Kind, items: dict[str, typing.Any], entry: Entry
) -> str:
    """Make one change in items and return the problem, or ''."""
    old: typing.Any = items.get(entry.name)
    is_there = old is not None and not getattr(old, 'is_withdrawn', False)
    if table == 'added':
        if is_there:
            return f'{entry.name!r} is there already'
        item = kind.message(
            **{kind.name_attribute: entry.name}, **entry.values
        )
        if isinstance(item, messages.Route):
            item.dispatch_attempts = item.dispatch_attempts or 1
            item.attempts = item.attempts or 2 * item.dispatch_attempts
            item.timeout_ms = item.timeout_ms or DEFAULT_TIMEOUT_MS
        items[entry.name] = item
        return ''
    if not is_there:
        return f'{entry.name!r} is not there'
    if table == 'changed':
        items[entry.name] = dataclasses.replace(old, **entry.values)
    elif isinstance(old, messages.UpstreamRule):
        # Upstreams announce themselves, so the rule must stay for the
        # upstream to get no work.
        items[entry.name] = dataclasses.replace(old, is_withdrawn=True)
    else:
        del items[entry.name]
    return ''


def _key_problems(
    after: dict[str, dict[str, typing.Any]],
    places: dict[tuple[str, str], str],
) -> list[str]:
    problems = []
    owners: dict[str, str] = {}
    for key in after['keys'].values():
        place = places.get(('keys', key.key_id), f'keys.{key.key_id}')
        if key.workspace and key.workspace not in after['workspaces']:
            withdrawn = places.get(('workspaces', key.workspace))
            if withdrawn and ('keys', key.key_id) not in places:
                problems.append(
                    f'{withdrawn}: workspace {key.workspace!r} still has '
                    f'key {key.key_id!r}'
                )
            else:
                problems.append(
                    f'{place}.workspace: unknown workspace {key.workspace!r}'
                )
        if key.digest and key.digest in owners:
            problems.append(
                f'{place}.digest: is that of key {owners[key.digest]!r}'
            )
        owners.setdefault(key.digest, key.key_id)
    return problems


def _route_problems(
    after: dict[str, dict[str, typing.Any]],
    places: dict[tuple[str, str], str],
) -> list[str]:
    problems = []
    seen: dict[tuple[str, str], str] = {}
    for route in after['routes'].values():
        place = places.get(('routes', route.name), f'routes.{route.name}')
        if route.attempts < route.dispatch_attempts:
            problems.append(
                f'{place}.attempts: must be at least dispatch_attempts '
                f'({route.dispatch_attempts}), not {route.attempts}'
            )
        for method in sorted(set(route.methods)) or ['']:
            other = seen.setdefault((route.path_prefix, method), route.name)
            if other != route.name and route.path_prefix:
                problems.append(
                    f'{place}: has the path_prefix and method of route '
                    f'{other!r}'
                )
                break
    return problems
