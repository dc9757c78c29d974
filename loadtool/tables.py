"""Fills option classes from TOML tables, nested lists of tables included.

The stand-in, the load tool and their tests share this. Every problem of a
table is reported as one line 'where.key: cause', as godwitstall.settings
does for the product's own files.

Example: options = tables.load(path, 'standin', StandinOptions)
"""

import dataclasses
import enum
import json
import pathlib
import tomllib
import typing

from godwitstall import errors

_Options = typing.TypeVar('_Options')


def load(
    path: pathlib.Path, name: str | None, kind: type[_Options]
) -> _Options:
    """Return the table name of a file, or the whole file, as options.

    Errors: SettingsError with one line for each problem found.
    """
    try:
        content = tomllib.loads(path.read_text('utf-8'))
    except OSError as e:
        raise errors.SettingsError(
            [f'{path}: cannot be read: {e.strerror}']
        ) from e
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as e:
        raise errors.SettingsError([f'{path}: is no TOML: {e}']) from e
    if name is None:
        return fill(kind, content, f'{path}: ')
    unknown = [f'{path}: {key}: unknown key' for key in content if key != name]
    if unknown or not isinstance(content.get(name), dict):
        raise errors.SettingsError(
            unknown or [f'{path}: {name}: must be a table']
        )
    return fill(kind, content[name], f'{path}: {name}.')


def fill(
    kind: type[_Options], table: dict[str, typing.Any], where: str
) -> _Options:
    """Return options filled from a table.

    where is put before each key in problems, for example 'a.toml: node.'.

    Errors: SettingsError with one line for each problem found.
    """
    problems: list[str] = []
    value = _fill(kind, table, where, problems)
    if problems:
        raise errors.SettingsError(problems)
    return typing.cast(_Options, value)


def change(options: _Options, table: dict[str, typing.Any]) -> _Options:
    """Return a copy of options with the entries of a table replaced."""
    shown = {
        field.name: getattr(options, field.name)
        for field in dataclasses.fields(typing.cast(typing.Any, options))
    }
    shown = {
        name: value.value if isinstance(value, enum.Enum) else value
        for name, value in shown.items()
    }
    return fill(type(options), shown | table, '')


def to_json(options: typing.Any) -> str:
    """Return options as one JSON object on one line."""
    return json.dumps(
        dataclasses.asdict(options),
        default=lambda item: item.value,
        separators=(',', ':'),
    )


def _fill(
    kind: typing.Any,
    table: typing.Any,
    where: str,
    problems: list[str],
) -> typing.Any:
    if not isinstance(table, dict):
        problems.append(f'{where.rstrip(".: ")}: must be a table')
        return None
    hints = typing.get_type_hints(kind)
    fields = {field.name: field for field in dataclasses.fields(kind)}
    values = {}
    count = len(problems)
    for key, value in table.items():
        if key not in fields:
            problems.append(f'{where}{key}: unknown key')
            continue
        values[key] = _convert(hints[key], value, f'{where}{key}', problems)
    for key, field in fields.items():
        is_required = (
            field.default is dataclasses.MISSING
            and field.default_factory is dataclasses.MISSING
        )
        if is_required and key not in table:
            problems.append(f'{where}{key}: is missing')
    return None if len(problems) > count else kind(**values)


def _convert(
    hint: typing.Any, value: typing.Any, where: str, problems: list[str]
) -> typing.Any:
    origin, arguments = typing.get_origin(hint), typing.get_args(hint)
    if origin is list and isinstance(value, list):
        return [
            _convert(arguments[0], item, f'{where}[{place}]', problems)
            for place, item in enumerate(value)
        ]
    if origin is dict and isinstance(value, dict):
        return {
            key: _convert(arguments[1], item, f'{where}.{key}', problems)
            for key, item in value.items()
        }
    if dataclasses.is_dataclass(hint):
        if isinstance(value, typing.cast(type, hint)):
            return value
        return _fill(hint, value, f'{where}.', problems)
    if isinstance(hint, type) and issubclass(hint, enum.Enum):
        choices = [member.value for member in hint]
        if value in choices:
            return hint(value)
        problems.append(f'{where}: must be one of {choices}, not {value!r}')
        return None
    if hint is float and type(value) in (int, float):
        return float(value)
    if type(value) is not hint:
        word = getattr(hint, '__name__', str(hint))
        problems.append(f'{where}: must be {word}, not {value!r}')
    return value
