"""Handler of GET /metrics for http.listener, without litestar.

Example: listener.handlers['10.0.0.1:9464'] = metrics_endpoint.serve
"""

from godwitstall.http import messages as http_messages
from godwitstall import metrics

PATH = '/metrics'

_CONTENT_TYPE = (b'content-type', b'text/plain; version=0.0.4')
_OK = 200
_NOT_FOUND = 404


async def serve(request: http_messages.Request) -> http_messages.Response:
    """Return all metrics of this process in the Prometheus text format."""
    if request.target != PATH or request.method != 'GET':
        return http_messages.Response(_NOT_FOUND)
    return http_messages.Response(_OK, [_CONTENT_TYPE], metrics.render())
