"""Gateway nodes for tests, not started and with unused addresses."""

from godwitstall import messages
from godwitstall.node import dialect
from godwitstall.node import gateway_node
from godwitstall.node.upstreams import upstream_status
from godwitstall import settings

# Header names of a fictitious mesh.
DIALECT = dialect.Dialect(
    attempt_id=b'x-id',
    deadline_ms=b'x-deadline',
    key=b'x-key',
    workspace=b'x-workspace',
    caller_service=b'x-caller',
    expected_instance=b'x-instance',
    not_run=b'x-not-run',
    signature=b'x-signature',
    retry_after=b'retry-after',
    statuses={},
    status_names=upstream_status.Names(b'x-limit', b'x-leaving'),
)


def make_options(node_id: str, service: str) -> settings.NodeOptions:
    """Return the options of a node for an upstream of a service."""
    return settings.NodeOptions(
        node_id=messages.NodeId(node_id),
        zone='z1',
        region='r1',
        link_address='127.0.0.1:1',
        caller_address='127.0.0.1:2',
        upstream_address='127.0.0.1:3',
        admin_address='127.0.0.1:4',
        service=messages.ServiceName(service),
        serves_without_lease=True,
    )


def make_node(
    service: str, mesh_dialect: dialect.Dialect = DIALECT
) -> gateway_node.GatewayNode:
    """Return a gateway node for an upstream of a service."""
    options = make_options('n1', service)
    fleet = settings.FleetOptions(
        'tests', seeds=['127.0.0.1:5'], is_without_secret=True
    )
    return gateway_node.GatewayNode.from_config(options, fleet, mesh_dialect)
