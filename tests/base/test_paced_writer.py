"""Bodies that are written as fast as their peers take them."""

import typing

from godwitstall import paced_writer

_BODY = bytes(range(256)) * 4096


class _Transport:
    """Takes some parts, and then asks for a pause."""

    def __init__(self, parts: int) -> None:
        self.parts = parts
        self.data = bytearray()
        self.writer = paced_writer.PacedWriter(self)

    def write(self, data: typing.Any) -> None:
        self.data += data
        self.parts -= 1
        if self.parts == 0:
            self.writer.pause()


def test_body_waits_for_a_slow_peer() -> None:
    """Guards against a copy of what the peer has not taken."""
    transport = _Transport(3)
    writer = transport.writer
    writer.write(b'head', _BODY)
    # The head and two parts.
    assert len(transport.data) == 4 + 2 * paced_writer.PART_BYTES
    assert writer.is_busy()
    assert writer.held_bytes() == len(_BODY)
    assert writer.left_bytes() == len(_BODY) - 2 * paced_writer.PART_BYTES
    transport.parts = 1
    assert not writer.resume()
    transport.parts = 1000
    assert writer.resume()
    assert transport.data == b'head' + _BODY
    assert writer.held_bytes() == 0


def test_small_body_is_one_write() -> None:
    """Guards against two packets for each response."""
    transport = _Transport(1)
    transport.writer.write(b'head', b'body')
    assert transport.data == b'headbody'
    assert not transport.writer.is_busy()


def test_rest_can_be_passed_on_at_once() -> None:
    """Guards against a stop that loses the end of a response."""
    transport = _Transport(2)
    transport.writer.write(b'head', _BODY)
    transport.writer.flush()
    assert transport.data == b'head' + _BODY
    assert not transport.writer.is_busy()
