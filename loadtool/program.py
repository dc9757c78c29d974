"""Runs a load scenario and prints its report as one line of JSON.

Examples:
    python -m loadtool --scenario surge.toml
    python -m loadtool --target 127.0.1.1:8080 --path /orders --rate 100
"""

import asyncio
import pathlib
import sys

from absl import app as absl_app
from absl import flags

from godwitstall import errors
from loadtool import runner
from loadtool import scenario as scenarios
from loadtool import tables

_SCENARIO = flags.DEFINE_string(
    'scenario', None, 'TOML file that some of the flags override.'
)
_TARGET = flags.DEFINE_multi_string(
    'target', [], 'Address of a caller listener, host:port.'
)
_PATH = flags.DEFINE_string('path', '/', 'Path of the requests.')
_METHOD = flags.DEFINE_string('method', 'GET', 'HTTP method.')
_RATE = flags.DEFINE_float('rate', 10.0, 'Calls per second.')
_SECONDS = flags.DEFINE_float('seconds', 10.0, 'Duration of the run, seconds.')
_KEY = flags.DEFINE_string('key', '', 'API key of the workspace.')
_PRIORITY = flags.DEFINE_string('priority', '', 'Godwitstall-Priority.')
_BODY_BYTES = flags.DEFINE_integer('body_bytes', 0, 'Size of the body, bytes.')
_OPERATION = flags.DEFINE_bool('operation', False, 'Send operation ids.')
_DEADLINE_MS = flags.DEFINE_integer('deadline_ms', 2000, 'Deadline, ms.')
_POLICY = flags.DEFINE_enum_class(
    'policy',
    scenarios.Policy.NONE,
    scenarios.Policy,
    'Behaviour of the client after a refusal or failure.',
)
_RESENDS = flags.DEFINE_integer(
    'resends', 0, 'Maximum number of resends of a call.'
)
_EVEN = flags.DEFINE_bool('even', False, 'Space the calls evenly.')
_CONNECTIONS = flags.DEFINE_integer(
    'connections', None, 'Maximum number of connections to each target.'
)
_SPIN = flags.DEFINE_bool(
    'spin', None, 'Busy-poll instead of sleeping; uses a full core.'
)
_SEED = flags.DEFINE_integer('seed', None, 'Seed of the arrival times.')
_CHECK = flags.DEFINE_bool(
    'check_digest', None, 'Require the digest of the request in each response.'
)


def scenario_from_flags() -> scenarios.Scenario:
    """Return the scenario of the file, or a single load set by flags.

    Errors: SettingsError with one line for each problem found.
    """
    if _SCENARIO.value:
        scenario = tables.load(
            pathlib.Path(_SCENARIO.value), None, scenarios.Scenario
        )
        scenario.targets = _TARGET.value or scenario.targets
    else:
        arrivals = scenarios.Arrivals
        scenario = scenarios.Scenario(
            targets=_TARGET.value,
            phases=[scenarios.Phase('all', _SECONDS.value)],
            loads=[
                scenarios.Load(
                    name='flags',
                    path=_PATH.value,
                    rates=[_RATE.value],
                    key=_KEY.value,
                    method=_METHOD.value,
                    body_bytes=_BODY_BYTES.value,
                    has_operation=_OPERATION.value,
                    priority=_PRIORITY.value,
                    deadline_ms=_DEADLINE_MS.value,
                    arrivals=arrivals.EVEN
                    if _EVEN.value
                    else arrivals.POISSON,
                    policy=_POLICY.value,
                    resends=_RESENDS.value,
                )
            ],
        )
    if _CONNECTIONS.value is not None:
        scenario.connections = _CONNECTIONS.value
    if _SPIN.value is not None:
        scenario.is_spinning = _SPIN.value
    if _SEED.value is not None:
        scenario.seed = _SEED.value
    if _CHECK.value is not None:
        scenario.is_digest_checked = _CHECK.value
    return scenario


def _main(_: list[str]) -> int:
    try:
        report = asyncio.run(runner.run(scenario_from_flags()))
    except errors.SettingsError as e:
        print(e, file=sys.stderr)
        return 2
    print(runner.to_line(report))
    return 0


def main() -> None:
    """Run the command-line program."""
    absl_app.run(_main)
