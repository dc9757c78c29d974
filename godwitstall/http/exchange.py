"""A request of a connection and its response.

Example: exchange = Exchange(request, len(request.body))
"""

import asyncio
import dataclasses

from godwitstall.http import messages as http_messages


@dataclasses.dataclass(slots=True, eq=False)
class Exchange:
    """A request and its response."""

    # None for an invalid request, and once the handler has been started.
    request: http_messages.Request | None = None
    # Size of the body of the request.
    body_bytes: int = 0
    # None until the handler has returned or the request has been cut.
    response: http_messages.Response | None = None
    # Whether the request gets the response of a stop. It is built when it is
    # written, as the time that it names counts from then.
    is_refused: bool = False
    # A response to HEAD has no body.
    is_head: bool = False
    task: asyncio.Task[None] | None = None

    def held_bytes(self) -> int:
        """Return the size of the body of the request or the response."""
        if self.response is None:
            return self.body_bytes
        return len(self.response.body)

    def refuse(self) -> None:
        """Let the request get the response of a stop; it is not handled."""
        self.request = None
        self.body_bytes = 0
        self.is_refused = True
