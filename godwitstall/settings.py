"""Settings of the programs: TOML files, checked in full before use.

Each program has one options class; load() fills it from one table of the
file and reports every problem as one line 'file: key: cause'. A key that is
not an option, a value of the wrong type, a value out of range and options
that contradict each other are problems.

Example: options = settings.load(pathlib.Path('node.toml'), NodeOptions)
"""

import collections.abc
import dataclasses
import enum
import ipaddress
import pathlib
import tomllib
import typing

from godwitstall import durations
from godwitstall import errors
from godwitstall import messages

_LEVELS = ('DEBUG', 'INFO', 'WARNING', 'ERROR')


class LimitPolicy(enum.Enum):
    """How the concurrency limit of an upstream is found."""

    GRADIENT = 'gradient'
    AIMD = 'aimd'
    FIXED = 'fixed'


@dataclasses.dataclass
class LogOptions:
    """The table [logs], the same for all programs."""

    # Level of all parts: DEBUG, INFO, WARNING or ERROR.
    level: str = 'INFO'
    # Levels of single parts, for example {consensus = 'DEBUG'}.
    parts: dict[str, str] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass
class FleetOptions:
    """The table [fleet], the same in every process of one fleet."""

    # Name of the fleet; a control process refuses a disk of another one.
    name: str
    # File with the secret that all processes of the fleet share.
    secret_file: str = ''
    # Links of all control processes by replica slot, 'host:port'.
    control: dict[str, str] = dataclasses.field(default_factory=dict)
    # Links of some control processes through which the others are found,
    # 'host:port'; instead of control.
    seeds: list[str] = dataclasses.field(default_factory=list)
    # Port of links at the seeds, where their addresses name another one; 0
    # means that they name this one.
    seed_port: int = 0
    # Links prove no secret. Only for a network that nobody else reaches.
    is_without_secret: bool = False

    def secret(self) -> bytes:
        """Return the shared secret without the white space around it."""
        if self.is_without_secret:
            return b''
        return pathlib.Path(self.secret_file).read_bytes().strip()


# Part of the grace time in which a planned stop ends; the rest is for a
# process that gets little processor time.
_GRACE_SHARE = 0.9


@dataclasses.dataclass
class NodeOptions:
    """The table [node] of godwitstall-node."""

    # Id, unique in the fleet and kept over restarts.
    node_id: messages.NodeId
    # Availability zone.
    zone: str
    # Region.
    region: str
    # Where other nodes connect, 'host:port'.
    link_address: str
    # Where callers connect, 'host:port'.
    caller_address: str
    # Where the own upstream connects, 'host:port'; loopback or the own VM.
    upstream_address: str
    # Where metrics and dumps are served, 'host:port'.
    admin_address: str
    # Service that the own upstream may announce.
    service: messages.ServiceName
    # Time a confirmed state may be used without control, seconds.
    lease_s: float = 4.0
    # Time between heartbeats to control, seconds.
    heartbeat_s: float = 1.0
    # Time between token requests to the ledger, milliseconds.
    grant_interval_ms: int = 200
    # Longest wait of a call for a token, milliseconds.
    grant_wait_ms: int = 1000
    # Largest request body, bytes.
    max_body_bytes: int = 1024 * 1024
    # Largest answer body, bytes.
    max_answer_bytes: int = 1024 * 1024
    # Largest request line and headers together, bytes.
    max_header_bytes: int = 32 * 1024
    # Most requests that wait for the own upstream.
    max_queue: int = 1000
    # Longest wait for the own upstream, milliseconds.
    max_queue_wait_ms: int = 500
    # How the concurrency limit is found: gradient, aimd or fixed.
    limit_policy: LimitPolicy = LimitPolicy.GRADIENT
    # Share of the limit that is used. An upstream that slows down when it is
    # nearly full serves more below that.
    slot_share: float = 1.0
    # Time over which a new upstream gets its full share of work, seconds.
    warmup_s: float = 10.0
    # Retries allowed for each call of a service, 0 to 1.
    retry_ratio: float = 0.1
    # Retries a second that a service may always have: from each node, or
    # from all together where the mesh counts each send.
    retry_min_per_s: float = 1.0
    # Silence after which an announcement ends, seconds.
    announce_timeout_s: float = 3.0
    # Time between probes of the own upstream, seconds.
    probe_interval_s: float = 1.0
    # Most open connections to the own upstream; 0 means as announced.
    max_connections: int = 0
    # Default deadline of a call without one, milliseconds.
    default_deadline_ms: int = 10_000
    # Longest time for running calls at a planned stop, seconds.
    stop_timeout_s: float = 30.0
    # Time from SIGTERM to the kill, seconds; 0 when there is no kill. A
    # planned stop ends before it.
    stop_grace_s: float = 0.0
    # Goes on with the last known configuration when control is lost, in
    # place of refusing all calls.
    serves_without_lease: bool = False
    # Time that a planned stop takes at least, seconds; 0 means one lease.
    stop_settle_s: float = 0.0
    # Where /metrics is served beside admin_address, 'host:port'; empty
    # means there only, if there at all.
    metrics_address: str = ''
    # Relays without limits and with naive retries, for comparison runs.
    is_pass_through: bool = False

    def planned_stop_s(self) -> float:
        """Return how long running calls are waited for, seconds."""
        if not self.stop_grace_s:
            return self.stop_timeout_s
        return min(self.stop_timeout_s, self.stop_grace_s * _GRACE_SHARE)


@dataclasses.dataclass
class ControlOptions:
    """The table [control] of godwitstall-control."""

    # Replica slot, a key of [fleet.control].
    slot: messages.SlotId
    # Availability zone.
    zone: str
    # Region.
    region: str
    # Where metrics and dumps are served, 'host:port'.
    admin_address: str
    # Data folder on the disk.
    data_folder: str
    # Where other processes connect, 'host:port'; needed with seeds only.
    link_address: str = ''
    # Where /metrics is served beside admin_address, 'host:port'; empty
    # means there only, if there at all.
    metrics_address: str = ''
    # Format an empty data folder at the start. Without it an empty folder is
    # an error, which keeps a disk that is not attached from being replaced.
    formats_empty_disk: bool = False
    # With formats_empty_disk: the disk belongs to a new fleet.
    is_new_fleet: bool = False
    # Shortest time without a leader before an election, seconds.
    election_min_s: float = 0.5
    # Longest time without a leader before an election, seconds.
    election_max_s: float = 1.0
    # Time between the leader's heartbeats, milliseconds.
    append_interval_ms: int = 100
    # Leader lease after a round that a majority acknowledged, seconds.
    leader_lease_s: float = 0.4
    # Log entries between two snapshots.
    snapshot_entries: int = 4096
    # Silence after which a member is removed, seconds.
    member_timeout_s: float = 3.0
    # Time an operation record is kept, seconds.
    operation_lifetime_s: float = 86_400.0
    # Time a token may be spent after it was asked for, milliseconds.
    grant_lifetime_ms: int = 1000
    # Crashes after which a request is quarantined.
    crash_threshold: int = 3
    # Time a quarantine lasts, seconds.
    quarantine_lifetime_s: float = 86_400.0


@dataclasses.dataclass
class CtlOptions:
    """The table [ctl] of godwitstall-ctl."""

    # Name that notes and drains are signed with.
    operator: str
    # Longest time for one command, seconds.
    timeout_s: float = 10.0


_Options = typing.TypeVar('_Options')

# Table of a file that each options class is read from.
_TABLES: dict[type, str] = {
    NodeOptions: 'node',
    ControlOptions: 'control',
    CtlOptions: 'ctl',
}

_RANGES: dict[str, tuple[float, float]] = {
    'lease_s': (0.1, 6.0),
    'heartbeat_s': (0.05, 5.0),
    'grant_interval_ms': (10, 5000),
    'grant_wait_ms': (0, 10_000),
    'max_body_bytes': (1024, 8 * 1024 * 1024),
    'max_answer_bytes': (1024, 8 * 1024 * 1024),
    'max_header_bytes': (1024, 1024 * 1024),
    'max_queue': (1, 1_000_000),
    'max_queue_wait_ms': (1, 600_000),
    'warmup_s': (0, 3600),
    'slot_share': (0.1, 1),
    'retry_ratio': (0, 1),
    'retry_min_per_s': (0, 10_000),
    'announce_timeout_s': (0.1, 5.0),
    'probe_interval_s': (0.05, 5.0),
    'max_connections': (0, 100_000),
    'default_deadline_ms': (1, 3_600_000),
    'stop_timeout_s': (0, 3600),
    'stop_settle_s': (0, 3600),
    'stop_grace_s': (0, 3600),
    'seed_port': (0, 65_535),
    'election_min_s': (0.05, 60),
    'election_max_s': (0.05, 120),
    'append_interval_ms': (5, 10_000),
    'leader_lease_s': (0.01, 60),
    'snapshot_entries': (16, 10_000_000),
    'member_timeout_s': (0.2, 5.0),
    'operation_lifetime_s': (60, 31 * 86_400),
    'grant_lifetime_ms': (50, 60_000),
    'crash_threshold': (1, 100),
    'quarantine_lifetime_s': (1, 31 * 86_400),
    'timeout_s': (0.1, 600),
}


def load(
    path: pathlib.Path, kind: type[_Options]
) -> tuple[FleetOptions, _Options, LogOptions]:
    """Return the tables [fleet], the program's own and [logs] of a file.

    Errors: SettingsError with one line for each problem found.
    """
    tables = _read(path)
    own = _TABLES[kind]
    problems = [
        f'{path}: {name}: unknown table'
        for name in tables
        if name not in ('fleet', 'logs', own)
    ]
    fleet = _fill(path, tables, 'fleet', FleetOptions, problems)
    problems += _missing_fleet_keys(path, tables.get('fleet', {}))
    if fleet is not None and fleet.seed_port:
        fleet.seeds = [
            f'{seed.rpartition(":")[0]}:{fleet.seed_port}'
            for seed in fleet.seeds
        ]
    options = _fill(path, tables, own, kind, problems)
    log_options = _fill(path, tables, 'logs', LogOptions, problems)
    if log_options is not None:
        problems += _level_problems(path, log_options)
    if fleet is not None:
        problems += _fleet_problems(path, fleet)
    if options is not None:
        match options:
            case NodeOptions():
                problems += _node_problems(path, options)
            case ControlOptions():
                problems += _control_problems(path, options, fleet)
    if problems or fleet is None or options is None or log_options is None:
        raise errors.SettingsError(problems)
    return fleet, options, log_options


def _read_problem(error: OSError | ValueError) -> str:
    """Return why a file cannot be read; ValueError is for its name."""
    cause = error.strerror if isinstance(error, OSError) else error
    return f'cannot be read: {cause}'


def _read(path: pathlib.Path) -> dict[str, typing.Any]:
    try:
        data = path.read_bytes()
    except (OSError, ValueError) as e:
        raise errors.SettingsError([f'{path}: {_read_problem(e)}']) from e
    try:
        return tomllib.loads(data.decode('utf-8'))
    except ValueError as e:
        raise errors.SettingsError([f'{path}: is no TOML: {e}']) from e
    except RecursionError as e:
        raise errors.SettingsError([f'{path}: is nested too deeply']) from e


def _fill(
    path: pathlib.Path,
    tables: dict[str, typing.Any],
    name: str,
    kind: type[_Options],
    problems: list[str],
) -> _Options | None:
    table = tables.get(name, {})
    if not isinstance(table, dict):
        problems.append(f'{path}: {name}: must be a table')
        return None
    known = {
        field.name: field
        for field in dataclasses.fields(typing.cast(typing.Any, kind))
    }
    hints = typing.get_type_hints(kind)
    found: list[str] = []
    values = {}
    for key, value in table.items():
        where = f'{path}: {name}.{key}'
        if key not in known:
            found.append(f'{where}: unknown key{_hint(key, known)}')
            continue
        try:
            if key.endswith('_s') and isinstance(value, str):
                value = durations.to_ms(value) / 1000
            values[key] = _convert(hints[key], value)
            _check_range(key, values[key])
        except ValueError as e:
            found.append(f'{where}: {e}')
    for key, field in known.items():
        is_required = (
            field.default is dataclasses.MISSING
            and field.default_factory is dataclasses.MISSING
        )
        if is_required and key not in table:
            found.append(f'{path}: {name}.{key}: is missing')
    problems += found
    return None if found else kind(**values)


def _hint(key: str, known: collections.abc.Iterable[str]) -> str:
    """Return a hint when only the unit differs, for example lease_ms."""
    stem = key.rpartition('_')[0] or key
    for name in known:
        if name.rpartition('_')[0] in (stem, key):
            return f'; did you mean {name}?'
    return ''


def _convert(hint: typing.Any, value: typing.Any) -> typing.Any:
    kind = getattr(hint, '__supertype__', hint)
    if kind is float:
        if isinstance(value, bool) or not isinstance(value, int | float):
            raise ValueError(f'must be a number, not {value!r}')
        return float(value)
    if kind is int:
        if isinstance(value, bool) or not isinstance(value, int):
            raise ValueError(f'must be a whole number, not {value!r}')
        return value
    if kind in (str, bool):
        if not isinstance(value, kind) or value == '':
            word = 'text' if kind is str else 'true or false'
            raise ValueError(f'must be {word}, not {value!r}')
        return value
    if typing.get_origin(kind) is list:
        if not isinstance(value, list) or not all(
            isinstance(item, str) for item in value
        ):
            raise ValueError('must be a list of texts')
        return value
    if typing.get_origin(kind) is dict:
        if not isinstance(value, dict) or not all(
            isinstance(item, str) for item in value.values()
        ):
            raise ValueError('must be a table of texts')
        return value
    choices = [member.value for member in kind]
    if value not in choices:
        raise ValueError(f'must be one of {", ".join(choices)}, not {value!r}')
    return kind(value)


def _check_range(key: str, value: typing.Any) -> None:
    if key == 'link_address':
        _check_reachable(value)
    elif key.endswith('_address'):
        check_address(value)
    if key in _RANGES:
        low, high = _RANGES[key]
        if not low <= value <= high:
            raise ValueError(f'must be from {low} to {high}, not {value}')


def check_address(value: str) -> None:
    """Raise ValueError unless value is 'IP number:port'."""
    host, _, port = value.rpartition(':')
    is_bracketed = host.startswith('[') and host.endswith(']')
    try:
        number = ipaddress.ip_address(host[1:-1] if is_bracketed else host)
    except ValueError as e:
        raise ValueError(
            f'must be an IP number and a port, not {value!r}'
        ) from e
    if is_bracketed and number.version == 4:
        raise ValueError(f'must be an IP number and a port, not {value!r}')
    if not is_bracketed and number.version == 6:
        raise ValueError(
            f'needs brackets around an IPv6 address, not {value!r}'
        )
    if not port.isdecimal() or not 1 <= int(port) <= 65_535:
        raise ValueError(f'has no port from 1 to 65535: {value!r}')


def _check_reachable(value: str) -> None:
    """Raise ValueError unless other processes can connect to an address."""
    check_address(value)
    host, _, _ = value.rpartition(':')
    if ipaddress.ip_address(host.strip('[]')).is_unspecified:
        raise ValueError(
            f'other processes connect there, so it cannot be {value!r}'
        )


def _level_problems(path: pathlib.Path, options: LogOptions) -> list[str]:
    levels = {'level': options.level}
    levels |= {f'parts.{part}': lv for part, lv in options.parts.items()}
    return [
        f'{path}: logs.{key}: must be one of {", ".join(_LEVELS)}'
        for key, level in levels.items()
        if level not in _LEVELS
    ]


def _missing_fleet_keys(path: pathlib.Path, table: typing.Any) -> list[str]:
    """Return the keys that are needed unless another one stands for them."""
    if not isinstance(table, dict):
        return []
    return [
        f'{path}: fleet.{key}: is missing'
        for key, instead in (
            ('secret_file', 'is_without_secret'),
            ('control', 'seeds'),
        )
        if key not in table and not table.get(instead)
    ]


def _fleet_problems(path: pathlib.Path, fleet: FleetOptions) -> list[str]:
    problems = []
    if fleet.control and fleet.seeds:
        problems.append(f'{path}: fleet.seeds: cannot stand beside control')
    for address in fleet.seeds:
        try:
            _check_reachable(address)
        except ValueError as e:
            problems.append(f'{path}: fleet.seeds: {e}')
    for slot, address in fleet.control.items():
        try:
            _check_reachable(address)
        except ValueError as e:
            problems.append(f'{path}: fleet.control.{slot}: {e}')
    if fleet.control and len(fleet.control) not in (1, 3, 5, 7):
        problems.append(
            f'{path}: fleet.control: needs 1, 3, 5 or 7 replicas, '
            f'not {len(fleet.control)}'
        )
    if len(set(fleet.control.values())) != len(fleet.control):
        problems.append(f'{path}: fleet.control: an address stands twice')
    if fleet.is_without_secret:
        if fleet.secret_file:
            problems.append(
                f'{path}: fleet.secret_file: is not used with '
                f'is_without_secret'
            )
        return problems
    if not fleet.secret_file:
        return problems
    try:
        if len(fleet.secret()) < 16:
            problems.append(
                f'{path}: fleet.secret_file: needs at least 16 bytes'
            )
    except (OSError, ValueError) as e:
        problems.append(f'{path}: fleet.secret_file: {_read_problem(e)}')
    return problems


def _node_problems(path: pathlib.Path, options: NodeOptions) -> list[str]:
    problems = []
    if options.heartbeat_s * 2 > options.lease_s:
        problems.append(
            f'{path}: node.lease_s: must be at least twice heartbeat_s'
        )
    addresses = [
        options.link_address,
        options.caller_address,
        options.upstream_address,
        options.admin_address,
    ]
    if options.metrics_address:
        addresses.append(options.metrics_address)
    if len(set(addresses)) != len(addresses):
        problems.append(f'{path}: node: two addresses are the same')
    return problems


def _control_problems(
    path: pathlib.Path,
    options: ControlOptions,
    fleet: FleetOptions | None,
) -> list[str]:
    problems = []
    if fleet is not None and fleet.seeds and not options.link_address:
        problems.append(f'{path}: control.link_address: is missing')
    if options.is_new_fleet and not options.formats_empty_disk:
        problems.append(
            f'{path}: control.is_new_fleet: needs formats_empty_disk'
        )
    if (
        fleet is not None
        and fleet.control
        and (options.slot not in fleet.control)
    ):
        problems.append(
            f'{path}: control.slot: {options.slot!r} is not in fleet.control'
        )
    if options.election_max_s <= options.election_min_s:
        problems.append(
            f'{path}: control.election_max_s: must be above election_min_s'
        )
    if options.leader_lease_s >= options.election_min_s:
        problems.append(
            f'{path}: control.leader_lease_s: must be below election_min_s'
        )
    if options.append_interval_ms * 3 > options.leader_lease_s * 1000:
        problems.append(
            f'{path}: control.append_interval_ms: must fit three times '
            f'into leader_lease_s'
        )
    return problems
