"""The instance endpoint of a node, with control replaced by a registry."""

import asyncio
import json
import typing

from adapter import names
from adapter import node as node_adapter

from godwitstall import errors
from godwitstall.http import messages as http_messages
from godwitstall.members import registry
from godwitstall import messages
from godwitstall.node import gateway_node
from tests import gateways

# A heartbeat with all fields that an upstream sends.
HEARTBEAT: dict[str, typing.Any] = {
    'service': 'siop',
    'address': '127.0.0.1:9000',
    'zone': 'z1',
    'version': 'v1',
    'concurrency': 87,
    'state': 'ready',
    'coldRemaining': '0ms',
    'sequence': 1,
    'born': 1000,
}


class Control:
    """Records the commands of a node in a registry, without a network."""

    def __init__(self, node: gateway_node.GatewayNode) -> None:
        self.node = node
        self.registry = registry.Registry()
        # Whether commands get no reply.
        self.is_lost = False

    async def propose(
        self, command: typing.Any, timeout_s: float
    ) -> messages.Message:
        if self.is_lost:
            raise errors.ControlError(errors.ErrorKind.CONTROL_LOST)
        result, _ = self.registry.apply(command)
        self.node.view.apply(
            messages.StateUpdate(
                self.node.view.index + 1,
                True,
                members=list(self.registry.members.values()),
            )
        )
        return result


class Harness:
    """Calls the instance endpoint of a node whose listeners are not started.

    Only its membership runs, during each call.
    """

    def __init__(self, runner: asyncio.Runner) -> None:
        self.runner = runner
        self.node = gateways.make_node('siop', names.DIALECT)
        self.adapter = node_adapter.NodeApi(self.node)
        self.control = Control(self.node)
        session: typing.Any = self.node.session
        session.propose = self.control.propose
        session.incarnation = 1
        session.connected.set()
        self.membership_task = runner.get_loop().create_task(
            self.node.membership.run()
        )

    def call(self, target: str, body: bytes = b'') -> int:
        request = http_messages.Request('POST', target, [], body, 0.0)
        return self.runner.run(self.adapter.serve_call(request)).status

    def drains(self) -> list[int]:
        """Return the upstream processes whose drain is recorded."""
        return [
            incarnation
            for _, incarnation in self.control.registry.drained_upstreams
        ]

    def heartbeat(self, instance_id: str, **changes: typing.Any) -> int:
        content = HEARTBEAT | changes
        return self.call(
            f'/-/rpc?call=instances.heartbeat&of={instance_id}',
            json.dumps(content).encode(),
        )

    def deregister(self, instance_id: str) -> int:
        return self.call(f'/-/rpc?call=instances.deregister&of={instance_id}')
