"""Loopback addresses for processes of a run, for bench and tests.

Example: address = addresses.free_address()
"""

import os
import random
import socket

# Below the range from which the system takes ports of outgoing connections;
# such a connection of any process could otherwise hold the port when the
# listener starts.
_FIRST_PORT = 10_000
_LAST_PORT = 32_000

# Runs that go on at the same time have different loopback hosts. A port that
# was only looked at can otherwise be taken by another run before its listener
# starts; this was seen with four runs at a time.
_PID = os.getpid()
_HOST = f'127.{1 + (_PID >> 14) % 250}.{(_PID >> 7) % 128}.{1 + _PID % 128}'
_random = random.Random(_PID)
_taken: set[int] = set()


def free_address(host: str = _HOST) -> str:
    """Return 'host:port' that nobody uses and nobody else here was given."""
    while True:
        port = _random.randint(_FIRST_PORT, _LAST_PORT)
        if port in _taken:
            continue
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((host, port))
            except OSError:
                continue
        _taken.add(port)
        return f'{host}:{port}'
