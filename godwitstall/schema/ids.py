"""Ids of workspaces, services, nodes, keys, operations and disks.

Example: NodeId('siop-1')
"""

import typing

import msgspec

WorkspaceName = typing.NewType('WorkspaceName', str)
ServiceName = typing.NewType('ServiceName', str)
NodeId = typing.NewType('NodeId', str)
KeyId = typing.NewType('KeyId', str)
OperationId = typing.NewType('OperationId', str)
AttemptId = typing.NewType('AttemptId', str)
SlotId = typing.NewType('SlotId', str)
DiskId = typing.NewType('DiskId', str)
# A non-negative number; messages with a negative one are rejected.
Count = typing.Annotated[int, msgspec.Meta(ge=0)]
