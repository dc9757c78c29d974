"""Loading and validation of the TOML settings files of the programs.

Each program has one options class. load() creates it from one table of the
file and reports all problems, each as one line 'file: key: problem'. Unknown
keys, values of the wrong type or out of range, and contradictory options are
problems.

Example: options = settings.load(pathlib.Path('node.toml'), NodeOptions)
"""

import collections.abc
import dataclasses
import enum
import pathlib
import tomllib
import typing

from godwitstall import durations
from godwitstall import errors
from godwitstall import messages
from godwitstall import setting_values

_LOG_LEVELS = ('DEBUG', 'INFO', 'WARNING', 'ERROR')


class LimitPolicy(enum.Enum):
    """Algorithm for the concurrency limit of an upstream."""

    GRADIENT = 'gradient'
    AIMD = 'aimd'
    FIXED = 'fixed'


@dataclasses.dataclass
class LogOptions:
    """The table [logs], the same for all programs."""

    # Default log level: DEBUG, INFO, WARNING or ERROR.
    level: str = 'INFO'
    # Log levels by part, for example {consensus = 'DEBUG'}.
    parts: dict[str, str] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass
class FleetOptions:
    """The table [fleet], the same in every process of one fleet."""

    # Name of the fleet. A control process rejects the disk of another fleet.
    name: str
    # Path of the file with the secret that all processes of the fleet share.
    secret_file: str = ''
    # Link addresses of all control processes by replica slot, 'host:port'.
    control: dict[str, str] = dataclasses.field(default_factory=dict)
    # Link addresses of some control processes, 'host:port', from which the
    # others are discovered. Replaces control.
    seeds: list[str] = dataclasses.field(default_factory=list)
    # Overrides the port in the addresses of seeds; 0 uses them unchanged.
    seed_port: int = 0
    # Disables the authentication of links. Only for an isolated network.
    is_without_secret: bool = False

    def secret(self) -> bytes:
        """Return the shared secret without surrounding white space."""
        if self.is_without_secret:
            return b''
        return pathlib.Path(self.secret_file).read_bytes().strip()


# Share of stop_grace_s that running calls may use. The rest is a reserve for
# a process that gets little CPU time.
_GRACE_SHARE = 0.9


@dataclasses.dataclass
class NodeOptions:
    """The table [node] of godwitstall-node."""

    # Id, unique in the fleet and unchanged by restarts.
    node_id: messages.NodeId
    # Availability zone.
    zone: str
    # Region.
    region: str
    # Address for links of other nodes, 'host:port'.
    link_address: str
    # Address for callers, 'host:port'.
    caller_address: str
    # Address for the node's own upstream, 'host:port'; loopback or in its VM.
    upstream_address: str
    # Address that serves metrics and state dumps, 'host:port'.
    admin_address: str
    # Service that the node's own upstream may announce.
    service: messages.ServiceName
    # Time for which a confirmed state is valid without control, seconds.
    lease_s: float = 4.0
    # Interval between heartbeats to control, seconds.
    heartbeat_s: float = 1.0
    # Interval between token requests to the ledger, milliseconds.
    grant_interval_ms: int = 200
    # Maximum time that a call waits for a token, milliseconds.
    grant_wait_ms: int = 1000
    # Maximum size of a request body, bytes.
    max_body_bytes: int = 1024 * 1024
    # Maximum size of a response body, bytes.
    max_answer_bytes: int = 1024 * 1024
    # Maximum size of all requests and answers that the process holds, bytes.
    max_held_bytes: int = 128 * 1024 * 1024
    # Maximum size of request line and headers together, bytes.
    max_header_bytes: int = 32 * 1024
    # Maximum number of requests queued for the upstream.
    max_queue: int = 1000
    # Maximum time of a request in that queue, milliseconds.
    max_queue_wait_ms: int = 500
    # Algorithm for the concurrency limit: gradient, aimd or fixed.
    limit_policy: LimitPolicy = LimitPolicy.GRADIENT
    # Share of the limit that is used. An upstream that slows down near its
    # limit has a higher throughput below it.
    slot_share: float = 1.0
    # Requests per second to a cold upstream, relative to those that the
    # configuration says it tolerates, and requests in one second in addition.
    cold_overrun: float = 1.0
    cold_tolerance: float = 0.0
    # Time until a new upstream receives its full share of requests, seconds.
    warmup_s: float = 10.0
    # Ratio of retries to calls that is allowed per service, 0 to 1.
    retry_ratio: float = 0.1
    # Retries per second that a service is always allowed: from each node, or
    # from all nodes together if the mesh counts each dispatch.
    retry_min_per_s: float = 1.0
    # Time after which an announcement expires if not repeated, seconds.
    announce_timeout_s: float = 3.0
    # Interval between health probes of the upstream, seconds.
    probe_interval_s: float = 1.0
    # Maximum connections to the upstream; 0 for the announced number.
    max_connections: int = 0
    # Deadline of calls that specify none, milliseconds.
    default_deadline_ms: int = 10_000
    # Maximum time for running calls to finish in a planned stop, seconds.
    stop_timeout_s: float = 30.0
    # Time from SIGTERM to SIGKILL, seconds; 0 if there is no SIGKILL. A
    # planned stop ends before.
    stop_grace_s: float = 0.0
    # Whether to keep serving with the last known configuration when control is
    # lost, instead of rejecting all calls.
    serves_without_lease: bool = False
    # Whether the first node of a chain admits requests by the room of the
    # services that the chain needs.
    admits_by_chain_room: bool = False
    # Minimum duration of a planned stop, seconds; 0 for the time of one lease.
    stop_settle_s: float = 0.0
    # Additional address that serves /metrics, 'host:port'; empty for none.
    # Needed where admin_address serves another API and no metrics.
    metrics_address: str = ''
    # Maximum connections of clients, on all HTTP addresses together; 0 for
    # half of the process's descriptors.
    max_client_connections: int = 0
    # Maximum links that other nodes open; 0 for a quarter of the
    # descriptors.
    max_peer_connections: int = 0
    # Whether members are selected by their speed as well as by their load.
    weighs_member_speed: bool = False
    # Whether a zone that fills up sends a share of its calls to emptier ones
    # before it is full.
    lends_zone_room: bool = False
    # Whether to forward without limits and with naive retries, as a baseline
    # for benchmarks.
    is_pass_through: bool = False

    def planned_stop_s(self) -> float:
        """Return the maximum time for running calls to finish, seconds."""
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
    # Address that serves metrics and state dumps, 'host:port'.
    admin_address: str
    # Path of the data folder.
    data_folder: str
    # Address for links, 'host:port'; only required with seeds.
    link_address: str = ''
    # Additional address that serves /metrics, 'host:port'; empty for none.
    # Needed where admin_address serves another API and no metrics.
    metrics_address: str = ''
    # All availability zones of the fleet. Those of members and replicas are
    # known without it.
    zones: list[str] = dataclasses.field(default_factory=list)
    # Whether to format an empty data folder at startup. Otherwise an empty
    # folder is an error, because the disk may not be mounted.
    formats_empty_disk: bool = False
    # Whether the formatted disk is for a new fleet; needs formats_empty_disk.
    is_new_fleet: bool = False
    # Minimum election timeout, seconds.
    election_min_s: float = 0.5
    # Maximum election timeout, seconds.
    election_max_s: float = 1.0
    # Interval between heartbeats of the leader, milliseconds.
    append_interval_ms: int = 100
    # Duration of the leader lease, seconds. Each heartbeat round that a
    # majority acknowledges renews it.
    leader_lease_s: float = 0.4
    # Number of log entries between two snapshots.
    snapshot_entries: int = 4096
    # Time without a heartbeat after which a member is removed, seconds.
    member_timeout_s: float = 3.0
    # Lifetime of an operation record, seconds.
    operation_lifetime_s: float = 86_400.0
    # Lifetime of a token, milliseconds, counted from its request.
    grant_lifetime_ms: int = 1000
    # Number of crashes after which a request is quarantined.
    crash_threshold: int = 3
    # Duration of a quarantine, seconds.
    quarantine_lifetime_s: float = 86_400.0
    # Maximum connections of clients, on all HTTP addresses together; 0 for
    # a quarter of the process's descriptors.
    max_client_connections: int = 0
    # Maximum links that other processes open; 0 for half of the
    # descriptors.
    max_peer_connections: int = 0


@dataclasses.dataclass
class CtlOptions:
    """The table [ctl] of godwitstall-ctl."""

    # Name of the operator that is recorded with notes and drains.
    operator: str
    # Maximum duration of one command, seconds.
    timeout_s: float = 10.0


# Part of max_held_bytes that request bodies may take; the rest is kept for the
# answer to the oldest request.
_MAX_BODY_SHARE = 0.75

_Options = typing.TypeVar('_Options')

# Name of the table for each options class.
_TABLES: dict[type, str] = {
    NodeOptions: 'node',
    ControlOptions: 'control',
    CtlOptions: 'ctl',
}

# Minimum and maximum of the numeric options, both inclusive.
_RANGES: dict[str, tuple[float, float]] = {
    'lease_s': (0.1, 6.0),
    'heartbeat_s': (0.05, 5.0),
    'grant_interval_ms': (10, 5000),
    'grant_wait_ms': (0, 10_000),
    'max_body_bytes': (1024, 1024 * 1024 * 1024),
    'max_answer_bytes': (1024, 1024 * 1024 * 1024),
    'max_held_bytes': (1024 * 1024, 64 * 1024 * 1024 * 1024),
    'max_header_bytes': (1024, 1024 * 1024),
    'max_queue': (1, 1_000_000),
    'max_queue_wait_ms': (1, 600_000),
    'warmup_s': (0, 3600),
    'cold_overrun': (0.1, 10),
    'cold_tolerance': (0, 10_000),
    'slot_share': (0.1, 1),
    'retry_ratio': (0, 1),
    'retry_min_per_s': (0, 10_000),
    'announce_timeout_s': (0.1, 5.0),
    'probe_interval_s': (0.05, 5.0),
    'max_connections': (0, 100_000),
    'max_client_connections': (0, 100_000),
    'max_peer_connections': (0, 100_000),
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
    path: pathlib.Path, options_type: type[_Options]
) -> tuple[FleetOptions, _Options, LogOptions]:
    """Load the tables [fleet], that of the program, and [logs] of a file.

    Errors: SettingsError with one line for each problem.
    """
    tables = _read_tables(path)
    own_table = _TABLES[options_type]
    problems = [
        f'{path}: {name}: unknown table'
        for name in tables
        if name not in ('fleet', 'logs', own_table)
    ]
    fleet = _parse_table(path, tables, 'fleet', FleetOptions, problems)
    problems += _missing_fleet_keys(path, tables.get('fleet', {}))
    if fleet is not None and fleet.seed_port:
        fleet.seeds = [
            f'{seed.rpartition(":")[0]}:{fleet.seed_port}'
            for seed in fleet.seeds
        ]
    options = _parse_table(path, tables, own_table, options_type, problems)
    log_options = _parse_table(path, tables, 'logs', LogOptions, problems)
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
    """Describe why a file cannot be read; ValueError is for a bad path."""
    cause = error.strerror if isinstance(error, OSError) else error
    return f'cannot be read: {cause}'


def _read_tables(path: pathlib.Path) -> dict[str, typing.Any]:
    try:
        data = path.read_bytes()
    except (OSError, ValueError) as e:
        raise errors.SettingsError([f'{path}: {_read_problem(e)}']) from e
    try:
        return tomllib.loads(data.decode('utf-8'))
    except ValueError as e:
        raise errors.SettingsError([f'{path}: is not valid TOML: {e}']) from e
    except RecursionError as e:
        raise errors.SettingsError([f'{path}: is nested too deeply']) from e


def _parse_table(
    path: pathlib.Path,
    tables: dict[str, typing.Any],
    name: str,
    options_type: type[_Options],
    problems: list[str],
) -> _Options | None:
    table = tables.get(name, {})
    if not isinstance(table, dict):
        problems.append(f'{path}: {name}: must be a table')
        return None
    known = {
        field.name: field
        for field in dataclasses.fields(typing.cast(typing.Any, options_type))
    }
    hints = typing.get_type_hints(options_type)
    table_problems: list[str] = []
    values = {}
    for key, value in table.items():
        where = f'{path}: {name}.{key}'
        if key not in known:
            table_problems.append(
                f'{where}: unknown key{_suggestion(key, known)}'
            )
            continue
        try:
            if key.endswith('_s') and isinstance(value, str):
                value = durations.to_ms(value) / 1000
            values[key] = setting_values.convert(hints[key], value)
            _check_range(key, values[key])
        except ValueError as e:
            table_problems.append(f'{where}: {e}')
    for key, field in known.items():
        is_required = (
            field.default is dataclasses.MISSING
            and field.default_factory is dataclasses.MISSING
        )
        if is_required and key not in table:
            table_problems.append(f'{path}: {name}.{key}: is missing')
    problems += table_problems
    return None if table_problems else options_type(**values)


def _suggestion(key: str, known: collections.abc.Iterable[str]) -> str:
    """Return a hint if only the unit of a key is wrong, as in lease_ms."""
    stem = key.rpartition('_')[0] or key
    for name in known:
        if name.rpartition('_')[0] in (stem, key):
            return f'; did you mean {name}?'
    return ''


def _check_range(key: str, value: typing.Any) -> None:
    if key == 'link_address':
        setting_values.check_reachable(value)
    elif key.endswith('_address'):
        setting_values.check_address(value)
    if key in _RANGES:
        low, high = _RANGES[key]
        if not low <= value <= high:
            raise ValueError(f'must be from {low} to {high}, not {value}')


def _level_problems(path: pathlib.Path, options: LogOptions) -> list[str]:
    levels = {'level': options.level}
    levels |= {f'parts.{part}': level for part, level in options.parts.items()}
    return [
        f'{path}: logs.{key}: must be one of {", ".join(_LOG_LEVELS)}'
        for key, level in levels.items()
        if level not in _LOG_LEVELS
    ]


def _missing_fleet_keys(path: pathlib.Path, table: typing.Any) -> list[str]:
    """Report required keys that are missing unless an alternative is set."""
    if not isinstance(table, dict):
        return []
    return [
        f'{path}: fleet.{key}: is missing'
        for key, alternative in (
            ('secret_file', 'is_without_secret'),
            ('control', 'seeds'),
        )
        if key not in table and not table.get(alternative)
    ]


def _fleet_problems(path: pathlib.Path, fleet: FleetOptions) -> list[str]:
    problems = []
    if fleet.control and fleet.seeds:
        problems.append(
            f'{path}: fleet.seeds: cannot be combined with control'
        )
    for address in fleet.seeds:
        try:
            setting_values.check_reachable(address)
        except ValueError as e:
            problems.append(f'{path}: fleet.seeds: {e}')
    for slot, address in fleet.control.items():
        try:
            setting_values.check_reachable(address)
        except ValueError as e:
            problems.append(f'{path}: fleet.control.{slot}: {e}')
    if fleet.control and len(fleet.control) not in (1, 3, 5, 7):
        problems.append(
            f'{path}: fleet.control: needs 1, 3, 5 or 7 replicas, '
            f'not {len(fleet.control)}'
        )
    if len(set(fleet.control.values())) != len(fleet.control):
        problems.append(f'{path}: fleet.control: contains duplicate addresses')
    if fleet.is_without_secret:
        if fleet.secret_file:
            problems.append(
                f'{path}: fleet.secret_file: cannot be combined with '
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
    return problems + _size_problems(path, options)


def _size_problems(path: pathlib.Path, options: NodeOptions) -> list[str]:
    """Report bodies for which the process could never have room."""
    problems = []
    if options.max_body_bytes > _MAX_BODY_SHARE * options.max_held_bytes:
        problems.append(
            f'{path}: node.max_body_bytes: must be at most three quarters of '
            'max_held_bytes'
        )
    if options.max_answer_bytes > options.max_held_bytes:
        problems.append(
            f'{path}: node.max_answer_bytes: must be at most max_held_bytes'
        )
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
            f'{path}: control.append_interval_ms: must be at most a '
            f'third of leader_lease_s'
        )
    return problems
