"""Conversion and checks of single values in settings files.

Example: setting_values.check_address('127.0.0.1:8080')
"""

import ipaddress
import typing


def convert(type_hint: typing.Any, value: typing.Any) -> typing.Any:
    """Return a value of a TOML file as the type of its option.

    Errors: ValueError if it has another type, or is no choice of an enum.
    """
    typ = getattr(type_hint, '__supertype__', type_hint)
    if typ is float:
        if isinstance(value, bool) or not isinstance(value, int | float):
            raise ValueError(f'must be a number, not {value!r}')
        return float(value)
    if typ is int:
        if isinstance(value, bool) or not isinstance(value, int):
            raise ValueError(f'must be a whole number, not {value!r}')
        return value
    if typ in (str, bool):
        if not isinstance(value, typ) or value == '':
            expected = 'a non-empty string' if typ is str else 'true or false'
            raise ValueError(f'must be {expected}, not {value!r}')
        return value
    if typing.get_origin(typ) is list:
        if not isinstance(value, list) or not all(
            isinstance(item, str) for item in value
        ):
            raise ValueError('must be a list of strings')
        return value
    if typing.get_origin(typ) is dict:
        if not isinstance(value, dict) or not all(
            isinstance(item, str) for item in value.values()
        ):
            raise ValueError('must be a table of strings')
        return value
    choices = [member.value for member in typ]
    if value not in choices:
        raise ValueError(f'must be one of {", ".join(choices)}, not {value!r}')
    return typ(value)


def check_address(value: str) -> None:
    """Raise ValueError unless value is an IP address and a port."""
    host, _, port = value.rpartition(':')
    is_bracketed = host.startswith('[') and host.endswith(']')
    try:
        address = ipaddress.ip_address(host[1:-1] if is_bracketed else host)
    except ValueError as e:
        raise ValueError(
            f'must be an IP address and a port, not {value!r}'
        ) from e
    if is_bracketed and address.version == 4:
        raise ValueError(f'must be an IP address and a port, not {value!r}')
    if not is_bracketed and address.version == 6:
        raise ValueError(
            f'needs brackets around an IPv6 address, not {value!r}'
        )
    if not port.isdecimal() or not 1 <= int(port) <= 65_535:
        raise ValueError(f'has no port from 1 to 65535: {value!r}')


def check_reachable(value: str) -> None:
    """Raise ValueError unless other processes can connect to an address."""
    check_address(value)
    host, _, _ = value.rpartition(':')
    if ipaddress.ip_address(host.strip('[]')).is_unspecified:
        raise ValueError(
            f'must be reachable for other processes, not {value!r}'
        )
