"""Commands about evacuated zones against fake control replicas."""

import asyncio
import json
import pathlib

from godwitstall.ctl import evacuation_commands
from godwitstall import messages
from tests.ctl import fake_control


def _join(control: fake_control.FakeControl, name: str, zone: str) -> None:
    control.apply(
        messages.Join(
            messages.Member(
                messages.NodeId(name),
                7,
                messages.ServiceName('siop'),
                zone,
                'teifi',
                f'{name}:1',
            )
        )
    )


def test_begin_list_and_finish(tmp_path: pathlib.Path) -> None:
    """Guards against an order without effect, and a list that hides it."""

    async def run() -> None:
        async with fake_control.FakeControl(tmp_path) as control:
            client = control.client()
            _join(control, 'siop-1', 'sied-wau')
            _join(control, 'siop-2', 'swyddfa')
            _join(control, 'siop-3', 'swyddfa')
            listed = await evacuation_commands.list_zones(client)
            assert listed.text == 'No zone is evacuated.'
            # The reply is lost, so that the order is sent twice.
            control.replies_to_drop = 1
            result = await evacuation_commands.begin(client, 'sied-wau')
            assert result.is_success
            assert 'sied-wau get no new work' in result.text
            index = control.machine.applied_index
            control.sessions = [
                {
                    'node_id': name,
                    'applied_index': index - behind,
                    'heard_ago_s': 0.1,
                }
                for name, behind in (('siop-1', 0), ('siop-2', 1))
            ]
            listed = await evacuation_commands.list_zones(client)
            assert '1 zones are evacuated.' in listed.text
            assert 'sied-wau  evacuated' in listed.text
            assert 'mair' in listed.text
            assert {r['process']: r['in_force'] for r in listed.rows} == {
                **dict.fromkeys(('c1', 'c2', 'c3'), 'yes'),
                'siop-1': 'yes',
                'siop-2': 'not confirmed yet',
                'siop-3': 'unknown',
            }
            [zone] = json.loads(listed.to_json())['zones']
            assert (zone['zone'], zone['is_active']) == ('sied-wau', True)
            result = await evacuation_commands.finish(client, 'sied-wau')
            assert result.is_success
            listed = await evacuation_commands.list_zones(client)
            assert 'sied-wau  taken back' in listed.text

    asyncio.run(run())


def test_zone_that_does_not_exist(tmp_path: pathlib.Path) -> None:
    """Guards against a misspelled zone that seems to be evacuated."""

    async def run() -> None:
        async with fake_control.FakeControl(tmp_path) as control:
            _join(control, 'siop-1', 'sied-wau')
            result = await evacuation_commands.begin(
                control.client(), 'sied-wua'
            )
            assert not result.is_success
            assert result.text == "There is no zone 'sied-wua', only sied-wau."

    asyncio.run(run())
