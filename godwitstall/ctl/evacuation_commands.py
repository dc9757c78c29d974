"""The commands of godwitstall-ctl about evacuated zones.

Example: await begin(client, 'sied-wau')
"""

from godwitstall.ctl import client as client_module
from godwitstall.ctl import commands
from godwitstall import messages

_ZONE_COLUMNS = ('zone', 'state', 'since', 'operator', 'index')


async def begin(
    client: client_module.ControlClient, zone: str
) -> commands.Result:
    """Stop sending new work to the upstreams of a zone."""
    return await _order(
        client, zone, True, f'The upstreams of zone {zone} get no new work'
    )


async def finish(
    client: client_module.ControlClient, zone: str
) -> commands.Result:
    """Resume sending work to the upstreams of a zone."""
    return await _order(
        client, zone, False, f'The upstreams of zone {zone} get work again'
    )


async def _order(
    client: client_module.ControlClient,
    zone: str,
    is_active: bool,
    effect: str,
) -> commands.Result:
    reply = await client.query(messages.QueryKind.EVACUATIONS)
    result = await client.propose(
        messages.Evacuate(
            zone,
            is_active,
            client.options.operator,
            reply['zones'],
            reply['applied_index'],
        )
    )
    if not isinstance(result, messages.EvacuationResult):
        raise commands.CommandError('Control sent an unexpected reply.')
    if result.verdict is not messages.EvacuationVerdict.ACCEPTED:
        return commands.Result(result.detail, is_success=False)
    return commands.Result(
        f"{effect}. 'evacuation list' shows which processes follow.",
        data={'zone': zone, 'index': result.index},
    )


async def list_zones(client: client_module.ControlClient) -> commands.Result:
    """List evacuated zones, and the processes that have the list in force."""
    reply = await client.query(messages.QueryKind.EVACUATIONS)
    zones = [
        item
        | {
            'state': 'evacuated' if item['is_active'] else 'taken back',
            'since': commands.format_time(item['time_ms']),
        }
        for item in reply['evacuations']
    ]
    count = sum(item['is_active'] for item in zones)
    if not zones:
        return commands.Result('No zone is evacuated.', data={'zones': []})
    newest_index = max(item['index'] for item in zones)
    rows = await commands.rows_in_force(client, newest_index)
    return commands.Result(
        f'{count} zones are evacuated.\n'
        f'{commands.format_table(_ZONE_COLUMNS, zones)}\n\n'
        f'In force up to log index {newest_index}:',
        rows,
        commands.IN_FORCE_COLUMNS,
        {'zones': zones, 'rows': rows},
    )
