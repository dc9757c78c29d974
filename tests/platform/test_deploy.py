"""Deployment files from which the platform starts the programs."""

import pathlib
import tomllib
import typing

import pytest

from godwitstall import settings
from tests import deploy_templates

_VARIABLES: dict[str, typing.Any] = {
    'nodeId': 'm-1',
    'zone': 'z1',
    'region': 'r1',
    'ip': '10.1.0.26',
    'service': 'siop',
    'dataDir': '/data/control',
    'bootstrap': True,
    'internalPortRange': [7000, 7015],
    'seedNodes': ['10.1.0.31:8540', '10.2.0.27:8540', '10.3.0.46:8540'],
    'bounds': {'grace': '6s', 'coldOverrun': 1.5, 'coldTolerance': None},
    'network': {'zones': {'z1': 'r1', 'z2': 'r1'}},
    'listenAddrs': {
        'outbound': '10.1.0.26:8548',
        'readyAddr': '10.1.0.26:8546',
        'controlPlane': '10.1.0.26:8540',
    },
}


@pytest.mark.parametrize(
    ('name', 'options_type'),
    [('node', settings.NodeOptions), ('control', settings.ControlOptions)],
)
def test_template_gives_settings_that_pass_the_checks(
    name: str, options_type: type, tmp_path: pathlib.Path
) -> None:
    """Guards against a template that the settings checks reject."""
    path = tmp_path / 'boot.toml'
    path.write_text(deploy_templates.render(name, _VARIABLES))
    options: typing.Any
    fleet, options, _ = settings.load(path, options_type)
    assert fleet.seeds == [
        '10.1.0.31:7000',
        '10.2.0.27:7000',
        '10.3.0.46:7000',
    ]
    assert options.link_address == '10.1.0.26:7000'


def test_control_knows_the_zones_of_the_platform(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against refused orders for a zone without members."""
    path = tmp_path / 'boot.toml'
    path.write_text(deploy_templates.render('control', _VARIABLES))
    _, options, _ = settings.load(path, settings.ControlOptions)
    assert options.zones == ['z1', 'z2']


def test_a_node_finds_a_live_replica_within_the_bound() -> None:
    """Guards against a configuration that reaches a node too late.

    Two of five replicas may be lost, and a configuration may take two seconds
    to reach every node. In this time a node must detect the loss of its
    replica, try the other lost replica and get a response from a third.
    """
    node = tomllib.loads(deploy_templates.render('node', _VARIABLES))['node']
    detection_s = node['heartbeat_s'] + node['lease_s'] / 2
    retry_s = 2 * node['lease_s'] / 4
    assert detection_s + retry_s < 2.0


def test_a_stop_ends_before_the_platform_kills(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against requests that are cut off when the grace period ends."""
    path = tmp_path / 'boot.toml'
    path.write_text(deploy_templates.render('node', _VARIABLES))
    _, options, _ = settings.load(path, settings.NodeOptions)
    assert options.stop_settle_s < options.planned_stop_s() < 6.0
