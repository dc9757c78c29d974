"""Allocates loopback addresses for tests and benchmarks.

Example: address = addresses.free_address()
"""

import os
import random
import socket

# Below the ephemeral port range, so that no outgoing connection can occupy the
# port before the listener starts.
_FIRST_PORT = 10_000
_LAST_PORT = 32_000

# Concurrent processes use different loopback hosts. Otherwise another process
# can bind a port between the probe and the start of the listener, which
# happened with four test runs at a time.
_PID = os.getpid()
_HOST = f'127.{1 + (_PID >> 14) % 250}.{(_PID >> 7) % 128}.{1 + _PID % 128}'
_rng = random.Random(_PID)
_reserved_ports: set[int] = set()


def free_address(host: str = _HOST) -> str:
    """Return a free 'host:port' that was not returned before."""
    while True:
        port = _rng.randint(_FIRST_PORT, _LAST_PORT)
        if port in _reserved_ports:
            continue
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((host, port))
            except OSError:
                continue
        _reserved_ports.add(port)
        return f'{host}:{port}'
