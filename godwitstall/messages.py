"""Data classes of all messages between processes and all stored records.

The classes mirror the structs of messages.capnp field by field, and codec.py
encodes and decodes them. Each module of schema holds one duty. Code
outside that package uses the names below.

Example: messages.Cancel(call_id=7)
"""

from godwitstall.schema import calls
from godwitstall.schema import commands
from godwitstall.schema import consensus
from godwitstall.schema import discovery
from godwitstall.schema import handshake
from godwitstall.schema import ids
from godwitstall.schema import liveness
from godwitstall.schema import reads
from godwitstall.schema import snapshots
from godwitstall.schema import states
from godwitstall.schema import tokens
from godwitstall.schema import views

WorkspaceName = ids.WorkspaceName
ServiceName = ids.ServiceName
NodeId = ids.NodeId
KeyId = ids.KeyId
OperationId = ids.OperationId
AttemptId = ids.AttemptId
SlotId = ids.SlotId
DiskId = ids.DiskId
Count = ids.Count

Role = states.Role
Priority = states.Priority
UpstreamState = states.UpstreamState
OperationState = states.OperationState
ClaimVerdict = states.ClaimVerdict
NoteVerdict = states.NoteVerdict
EvacuationVerdict = states.EvacuationVerdict
QueryKind = states.QueryKind

Hello = handshake.Hello
HelloReply = handshake.HelloReply
HelloProof = handshake.HelloProof
Error = handshake.Error

LoadReport = calls.LoadReport
ServiceRoom = calls.ServiceRoom
Call = calls.Call
Answer = calls.Answer
Cancel = calls.Cancel
BodyOffer = calls.BodyOffer
BodyGrant = calls.BodyGrant
BodyPart = calls.BodyPart
Take = calls.Take
TakeReply = calls.TakeReply

Heartbeat = views.Heartbeat
HeartbeatReply = views.HeartbeatReply
Workspace = views.Workspace
Key = views.Key
Target = views.Target
Route = views.Route
ServiceRule = views.ServiceRule
ClientLimits = views.ClientLimits
UpstreamRule = views.UpstreamRule
Configuration = views.Configuration
Member = views.Member
Quarantine = views.Quarantine
Evacuation = views.Evacuation
StateUpdate = views.StateUpdate

Want = tokens.Want
Grant = tokens.Grant
GrantRequest = tokens.GrantRequest
GrantReply = tokens.GrantReply

Propose = reads.Propose
ProposeReply = reads.ProposeReply
Query = reads.Query
QueryReply = reads.QueryReply

Entry = consensus.Entry
Voter = consensus.Voter
VoteRequest = consensus.VoteRequest
VoteReply = consensus.VoteReply
AppendRequest = consensus.AppendRequest
AppendReply = consensus.AppendReply
SnapshotChunk = consensus.SnapshotChunk
SnapshotReply = consensus.SnapshotReply
TransferLeadership = consensus.TransferLeadership
BarrierRequest = consensus.BarrierRequest
BarrierReply = consensus.BarrierReply

NodeBeat = liveness.NodeBeat
LivenessReport = liveness.LivenessReport
Done = liveness.Done

Introduce = discovery.Introduce
Directory = discovery.Directory

ReplaceConfiguration = commands.ReplaceConfiguration
ApplyNote = commands.ApplyNote
Join = commands.Join
SetUpstreamState = commands.SetUpstreamState
Leave = commands.Leave
Expire = commands.Expire
Drain = commands.Drain
Evacuate = commands.Evacuate
Claim = commands.Claim
Complete = commands.Complete
Release = commands.Release
ReportCrash = commands.ReportCrash
Lift = commands.Lift
AddVoter = commands.AddVoter
RemoveVoter = commands.RemoveVoter
CommandResult = commands.CommandResult
NoteResult = commands.NoteResult
EvacuationResult = commands.EvacuationResult
OperationRecord = commands.OperationRecord
ClaimResult = commands.ClaimResult

AcceptedNote = snapshots.AcceptedNote
ConfigurationSnapshot = snapshots.ConfigurationSnapshot
MembersSnapshot = snapshots.MembersSnapshot
OperationsSnapshot = snapshots.OperationsSnapshot
CrashRecord = snapshots.CrashRecord
QuarantineSnapshot = snapshots.QuarantineSnapshot
MachineSnapshot = snapshots.MachineSnapshot
SnapshotFile = snapshots.SnapshotFile

Message = (
    Hello
    | HelloReply
    | HelloProof
    | Error
    | Call
    | Answer
    | Cancel
    | BodyOffer
    | BodyGrant
    | BodyPart
    | Take
    | TakeReply
    | Heartbeat
    | HeartbeatReply
    | StateUpdate
    | GrantRequest
    | GrantReply
    | Propose
    | ProposeReply
    | Query
    | QueryReply
    | VoteRequest
    | VoteReply
    | AppendRequest
    | AppendReply
    | SnapshotChunk
    | SnapshotReply
    | TransferLeadership
    | BarrierRequest
    | BarrierReply
    | LivenessReport
    | Done
    | ApplyNote
    | Join
    | SetUpstreamState
    | Leave
    | Expire
    | Drain
    | Claim
    | Complete
    | Release
    | ReportCrash
    | Lift
    | AddVoter
    | RemoveVoter
    | CommandResult
    | NoteResult
    | ClaimResult
    | ConfigurationSnapshot
    | MembersSnapshot
    | OperationsSnapshot
    | QuarantineSnapshot
    | MachineSnapshot
    | SnapshotFile
    | Entry
    | Introduce
    | Directory
    | ReplaceConfiguration
    | Evacuate
    | EvacuationResult
)
