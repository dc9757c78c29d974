"""Replicated state at a node.

The control session applies the StateUpdate messages of one control replica.
After a switch to a replica that is behind, updates older than the current
state are rejected, so that accepted configuration is never reverted
(requirement R10).

Example: view.apply(messages.StateUpdate(index=7, is_full=True)) is True
"""

import collections.abc

from godwitstall import messages
from godwitstall import metrics
from godwitstall.routing import hosts
from godwitstall.routing import table
from godwitstall.routing import zones as zones_module

_CONFIGURATION_NUMBER = metrics.gauge(
    'configuration_number',
    'Number of the configuration in force here.',
)
_STATE_INDEX = metrics.gauge(
    'state_index', 'Log index of the state in force here.'
)


class View:
    """Configuration, members, evacuations, quarantines at one log index."""

    def __init__(self) -> None:
        # Log index of the last update; -1 before the first full update.
        self.index = -1
        # Number of the configuration in force.
        self.number = 0
        # Routes in force that specify no host.
        self.routes = table.RouteTable([])
        # Routes in force that specify a host.
        self.hosts = hosts.HostTable([])
        # Service rules by name, and limits on client requests.
        self.services: dict[str, messages.ServiceRule] = {}
        self.limits = messages.ClientLimits()
        # Members by node id.
        self.members: dict[messages.NodeId, messages.Member] = {}
        # Evacuated zones and those taken back.
        self.zones = zones_module.Zones()
        # Workspaces by name.
        self.workspaces: dict[str, messages.Workspace] = {}
        # Callbacks invoked without arguments after each applied update.
        self.on_change: list[collections.abc.Callable[[], None]] = []
        self._keys_by_digest: dict[str, messages.Key] = {}
        self._keys_by_id: dict[messages.KeyId, messages.Key] = {}
        self._upstream_rules: dict[str, messages.UpstreamRule] = {}
        self._members_by_service: dict[str, list[messages.Member]] = {}
        self._quarantined: set[bytes] = set()
        self._suspected: set[bytes] = set()

    def apply(self, update: messages.StateUpdate) -> bool:
        """Apply an update; return False when it is older than the state.

        An incremental update is also rejected before the first full update,
        because it would leave the state incomplete.
        """
        if update.index < self.index:
            return False
        if not update.is_full and self.index < 0:
            return False
        self.index = update.index
        _STATE_INDEX.set(update.index)
        if update.has_configuration or update.is_full:
            self._set_configuration(update.configuration)
        if update.is_full:
            self.members = {}
        for node_id in update.removed_members:
            self.members.pop(messages.NodeId(node_id), None)
        for member in update.members:
            self.members[member.node_id] = member
        if update.is_full or update.members or update.removed_members:
            self._members_by_service = {}
            for member in self.members.values():
                self._members_by_service.setdefault(member.service, []).append(
                    member
                )
        if update.has_quarantines or update.is_full:
            self._quarantined = {
                entry.fingerprint
                for entry in update.quarantines
                if entry.is_quarantined
            }
            self._suspected = {
                entry.fingerprint
                for entry in update.quarantines
                if not entry.is_quarantined
            }
        if update.has_evacuations or update.is_full:
            self.zones.apply(update.evacuations)
        for callback in self.on_change:
            callback()
        return True

    def members_of(self, service: str) -> list[messages.Member]:
        """Return all members of a service, regardless of their state."""
        return self._members_by_service.get(service, [])

    def is_evacuated(self, zone: str) -> bool:
        """Return whether the upstreams of a zone get no new calls."""
        return zone in self.zones.evacuated

    def is_service_evacuated(self, service: str) -> bool:
        """Return whether all members of a service are in evacuated zones."""
        members = self.members_of(service)
        return bool(members) and all(
            member.zone in self.zones.evacuated for member in members
        )

    def returned_at(self, zone: str) -> float | None:
        """Return when this node learned that a zone is taken back.

        None if the zone is evacuated, or was not in the lifetime of the node.
        """
        return self.zones.returned_at.get(zone)

    def key_by_digest(self, digest: str) -> messages.Key | None:
        """Return the key with a hexadecimal SHA-256 digest."""
        return self._keys_by_digest.get(digest)

    def key_by_id(self, key_id: messages.KeyId) -> messages.Key | None:
        """Return the key with an id."""
        return self._keys_by_id.get(key_id)

    def upstream_rule(
        self, node_id: messages.NodeId
    ) -> messages.UpstreamRule | None:
        """Return the operator's rule for the upstream of a node."""
        return self._upstream_rules.get(node_id)

    def is_quarantined(self, fingerprint: bytes) -> bool:
        """Return whether requests with this fingerprint are rejected."""
        return fingerprint in self._quarantined

    def is_suspect(self, fingerprint: bytes) -> bool:
        """Return whether requests with this fingerprint run one at a time."""
        return fingerprint in self._suspected

    def _set_configuration(
        self, configuration: messages.Configuration
    ) -> None:
        self.number = configuration.number
        _CONFIGURATION_NUMBER.set(configuration.number)
        self.routes = table.RouteTable(
            route for route in configuration.routes if not route.host
        )
        self.hosts = hosts.HostTable(
            route for route in configuration.routes if route.host
        )
        self.services = {rule.name: rule for rule in configuration.services}
        self.limits = configuration.limits
        self.workspaces = {
            workspace.name: workspace for workspace in configuration.workspaces
        }
        self._keys_by_digest = {key.digest: key for key in configuration.keys}
        self._keys_by_id = {key.key_id: key for key in configuration.keys}
        self._upstream_rules = {
            rule.name: rule for rule in configuration.upstreams
        }
