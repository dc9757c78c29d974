"""Builds option classes from TOML tables, including nested lists of tables.

The stand-in, the load tool and their tests use this module. Each problem in a
table is reported as a line 'location.key: problem', as godwitstall.settings
does for the settings files of the programs.

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
    path: pathlib.Path, name: str | None, options_type: type[_Options]
) -> _Options:
    """Return options from the table called name or from the whole file.

    Errors: SettingsError with one line for each problem found.
    """
    try:
        content = tomllib.loads(path.read_text('utf-8'))
    except OSError as e:
        raise errors.SettingsError(
            [f'{path}: cannot be read: {e.strerror}']
        ) from e
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as e:
        raise errors.SettingsError([f'{path}: is not valid TOML: {e}']) from e
    if name is None:
        return fill(options_type, content, f'{path}: ')
    unknown = [f'{path}: {key}: unknown key' for key in content if key != name]
    if unknown or not isinstance(content.get(name), dict):
        raise errors.SettingsError(
            unknown or [f'{path}: {name}: must be a table']
        )
    return fill(options_type, content[name], f'{path}: {name}.')


def fill(
    options_type: type[_Options], table: dict[str, typing.Any], location: str
) -> _Options:
    """Return options with the values of a table.

    location precedes each key in problems, for example 'a.toml: node.'.

    Errors: SettingsError with one line for each problem found.
    """
    problems: list[str] = []
    value = _fill(options_type, table, location, problems)
    if problems:
        raise errors.SettingsError(problems)
    return typing.cast(_Options, value)


def replace(options: _Options, table: dict[str, typing.Any]) -> _Options:
    """Return a copy of options in which the values of a table are set."""
    values = {
        field.name: getattr(options, field.name)
        for field in dataclasses.fields(typing.cast(typing.Any, options))
    }
    values = {
        name: value.value if isinstance(value, enum.Enum) else value
        for name, value in values.items()
    }
    return fill(type(options), values | table, '')


def to_json(options: typing.Any) -> str:
    """Return options as one JSON object on one line."""
    return json.dumps(
        dataclasses.asdict(options),
        default=lambda item: item.value,
        separators=(',', ':'),
    )


def _fill(
    options_type: typing.Any,
    table: typing.Any,
    location: str,
    problems: list[str],
) -> typing.Any:
    if not isinstance(table, dict):
        problems.append(f'{location.rstrip(".: ")}: must be a table')
        return None
    hints = typing.get_type_hints(options_type)
    fields = {field.name: field for field in dataclasses.fields(options_type)}
    values = {}
    count = len(problems)
    for key, value in table.items():
        if key not in fields:
            problems.append(f'{location}{key}: unknown key')
            continue
        values[key] = _convert(hints[key], value, f'{location}{key}', problems)
    for key, field in fields.items():
        is_required = (
            field.default is dataclasses.MISSING
            and field.default_factory is dataclasses.MISSING
        )
        if is_required and key not in table:
            problems.append(f'{location}{key}: is missing')
    return None if len(problems) > count else options_type(**values)


def _convert(
    hint: typing.Any, value: typing.Any, location: str, problems: list[str]
) -> typing.Any:
    origin, arguments = typing.get_origin(hint), typing.get_args(hint)
    if origin is list and isinstance(value, list):
        return [
            _convert(arguments[0], item, f'{location}[{index}]', problems)
            for index, item in enumerate(value)
        ]
    if origin is dict and isinstance(value, dict):
        return {
            key: _convert(arguments[1], item, f'{location}.{key}', problems)
            for key, item in value.items()
        }
    if dataclasses.is_dataclass(hint):
        if isinstance(value, typing.cast(type, hint)):
            return value
        return _fill(hint, value, f'{location}.', problems)
    if isinstance(hint, type) and issubclass(hint, enum.Enum):
        choices = [member.value for member in hint]
        if value in choices:
            return hint(value)
        problems.append(f'{location}: must be one of {choices}, not {value!r}')
        return None
    if hint is float and type(value) in (int, float):
        return float(value)
    if type(value) is not hint:
        type_name = getattr(hint, '__name__', str(hint))
        problems.append(f'{location}: must be {type_name}, not {value!r}')
    return value
