"""The announcement by which an upstream makes itself known to its node."""

import msgspec

from godwitstall import errors
from godwitstall import messages


class Announcement(msgspec.Struct, forbid_unknown_fields=True):
    """Body of POST /announce, sent every second.

    Example: {"service": "siop", "incarnation": 1764817335, "port": 9000,
    "slots": 230, "connections": 1500, "health_path": "/healthz",
    "state": "ready"}
    """

    # Service that the upstream belongs to.
    service: str
    # Start number; a later start has a higher one.
    incarnation: int
    # Port on the host of the node's upstream listener.
    port: int
    # Requests that it can run at once.
    slots: int
    # Connections that it can hold.
    connections: int
    # Path that the node probes.
    health_path: str = '/'
    # 'ready' or 'draining'.
    state: str = 'ready'
    # Id of the process; requests may name it as the only one to run them.
    instance_id: str = ''

    def problems(self, service: messages.ServiceName) -> list[str]:
        """Return what is wrong, one line each; empty when it can be used."""
        found = []
        if self.service != service:
            found.append(
                f'service: this node serves {service!r}, not {self.service!r}'
            )
        # The messages to control have 64 and 32 bits for these.
        if not 1 <= self.incarnation < 2**63:
            found.append('incarnation: must be from 1 to 2^63 - 1')
        if not 1 <= self.port <= 65_535:
            found.append('port: must be from 1 to 65535')
        if not 1 <= self.slots < 2**31:
            found.append('slots: must be from 1 to 2^31 - 1')
        if not 1 <= self.connections < 2**31:
            found.append('connections: must be from 1 to 2^31 - 1')
        if not self.health_path.startswith('/'):
            found.append('health_path: must start with /')
        if self.state not in ('ready', 'draining'):
            found.append("state: must be 'ready' or 'draining'")
        return found


def parse(body: bytes, service: messages.ServiceName) -> Announcement:
    """Return the announcement in body.

    Errors: RequestError of kind BAD_REQUEST with all problems.
    """
    try:
        announcement = msgspec.json.decode(body, type=Announcement)
    except (msgspec.DecodeError, UnicodeDecodeError) as e:
        raise errors.RequestError(
            errors.ErrorKind.BAD_REQUEST, f'Bad announcement: {e}.'
        ) from e
    problems = announcement.problems(service)
    if problems:
        raise errors.RequestError(
            errors.ErrorKind.BAD_REQUEST,
            'Bad announcement: ' + '; '.join(problems) + '.',
        )
    return announcement
