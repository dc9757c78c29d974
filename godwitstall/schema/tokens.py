"""Requests of nodes for rate tokens, and the grants.

Example: Want(workspace=ids.WorkspaceName('shop-3'))
"""

import msgspec

from godwitstall.schema import ids


class Want(msgspec.Struct, array_like=True):
    """Tokens that a node requests for one workspace."""

    # Workspace that the tokens are for.
    workspace: ids.WorkspaceName = ids.WorkspaceName('')
    # Unspent tokens of the node when it sent the request.
    held: ids.Count = 0
    # Number of tokens requested.
    wanted: ids.Count = 0
    # Request number, increasing within a process. The ledger discards a
    # request that arrives late through another replica, because its held is
    # out of date.
    number: ids.Count = 0
    # Unspent tokens that the node returns with this request.
    returned: ids.Count = 0
    # Part of wanted for calls that are already waiting; the rest is for
    # expected demand.
    waiting: ids.Count = 0


class Grant(msgspec.Struct, array_like=True):
    """Tokens that a node may spend."""

    # Workspace that the tokens are for.
    workspace: ids.WorkspaceName = ids.WorkspaceName('')
    # Number of tokens granted.
    tokens: ids.Count = 0
    # Recommended delay before a retry, milliseconds; 0 when unknown.
    retry_after_ms: ids.Count = 0


class GrantRequest(msgspec.Struct, array_like=True, tag=8):
    """Requests tokens from the ledger."""

    # Sequence number that matches a reply to its request.
    seq: ids.Count = 0
    # Id of the node.
    node_id: ids.NodeId = ids.NodeId('')
    # Incarnation of the process; increases with each start.
    incarnation: ids.Count = 0
    # One entry for each workspace.
    wants: list[Want] = msgspec.field(default_factory=list)


class GrantReply(msgspec.Struct, array_like=True, tag=9):
    """Reply to GrantRequest."""

    # Sequence number that matches a reply to its request.
    seq: ids.Count = 0
    # One entry for each workspace.
    grants: list[Grant] = msgspec.field(default_factory=list)
    # Lifetime of the tokens, milliseconds, from the sending of the request.
    lifetime_ms: ids.Count = 0
