"""Announcements that an upstream sends to its node."""

import msgspec

from godwitstall import errors
from godwitstall import messages


class Announcement(msgspec.Struct, forbid_unknown_fields=True):
    """Body of POST /announce, sent every second.

    Example: {"service": "siop", "incarnation": 1764817335, "port": 9000,
    "slots": 230, "connections": 1500, "health_path": "/healthz",
    "state": "ready"}
    """

    # Service of the upstream.
    service: str
    # Incarnation of the process; increases with each start.
    incarnation: int
    # Port of the upstream, on the host of the node's upstream listener.
    port: int
    # Number of requests that the upstream can run at once.
    slots: int
    # Number of connections that the upstream accepts.
    connections: int
    # Path of the health endpoint.
    health_path: str = '/'
    # 'ready' or 'draining'.
    state: str = 'ready'
    # Id of the process; a request may name the only instance that may run it.
    instance_id: str = ''
    # Time for which the process stays cold, milliseconds; 0 if it is warm.
    cold_ms: int = 0

    def problems(self, service: messages.ServiceName) -> list[str]:
        """Return one message for each invalid field."""
        problems = []
        if self.service != service:
            problems.append(
                f'service: this node serves {service!r}, not {self.service!r}'
            )
        # Upper bounds follow the integer types of the messages to control.
        if not 1 <= self.incarnation < 2**63:
            problems.append('incarnation: must be from 1 to 2^63 - 1')
        if not 1 <= self.port <= 65_535:
            problems.append('port: must be from 1 to 65535')
        if not 1 <= self.slots < 2**31:
            problems.append('slots: must be from 1 to 2^31 - 1')
        if not 1 <= self.connections < 2**31:
            problems.append('connections: must be from 1 to 2^31 - 1')
        if not 0 <= self.cold_ms < 2**31:
            problems.append('cold_ms: must be from 0 to 2^31 - 1')
        if not self.health_path.startswith('/'):
            problems.append('health_path: must start with /')
        if self.state not in ('ready', 'draining'):
            problems.append("state: must be 'ready' or 'draining'")
        return problems


def parse(body: bytes, service: messages.ServiceName) -> Announcement:
    """Decode and check the body of an announcement request.

    Errors: RequestError of kind BAD_REQUEST that lists all problems.
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
