"""Renders the settings templates of deploy/ as the platform does.

Example: text = deploy_templates.render('node', {'ip': '127.0.0.1', ...})
"""

import collections.abc
import pathlib
import re
import tomllib
import typing

ROOT = pathlib.Path(__file__).resolve().parents[1]


def role(name: str) -> dict[str, typing.Any]:
    """Return a role of the deploy file."""
    content = tomllib.loads((ROOT / 'deploy' / 'system.toml').read_text())
    found: dict[str, typing.Any] = content['roles'][name]
    return found


def render(
    name: str, variables: collections.abc.Mapping[str, typing.Any]
) -> str:
    """Return the settings of a role, with values and lists filled in."""

    def look_up(path: str) -> typing.Any:
        value: typing.Any = variables
        for key in path.split('.'):
            value = value[int(key) if isinstance(value, list) else key]
        return value

    def expand(section: re.Match[str]) -> str:
        entries = look_up(section[1])
        if entries is None:
            entries = []
        elif not isinstance(entries, dict | list):
            entries = [entries]
        keyed = (
            entries.items()
            if isinstance(entries, dict)
            else enumerate(entries)
        )
        parts = [
            section[2].replace('{{.}}', str(entry)).replace('{{@}}', str(key))
            for key, entry in keyed
        ]
        return ','.join(part.replace('{{,}}', '') for part in parts)

    template = (ROOT / role(name)['template']).read_text()
    filled = re.sub(r'{{#([\w.]+)}}(.*?){{/\1}}', expand, template)
    return re.sub(
        r'{{([\w.]+)}}', lambda match: _to_text(look_up(match[1])), filled
    )


def _to_text(value: typing.Any) -> str:
    return str(value).lower() if isinstance(value, bool) else str(value)
