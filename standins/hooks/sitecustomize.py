"""Hooks of ``standins.links`` and ``standins.resets`` in a process.

Python imports this at the start of each process that has this folder on its path.  If there is a
file named by ``STANDIN_LINKS``, it holds the port of the relay for each address, and the process
calls other hosts through the relays.  SIGUSR2 resets all TCP connections of the process.
"""

import _socket
import contextlib
import json
import os
import signal
import stat
import struct

_port_by_address = {}
if _path := os.environ.get("STANDIN_LINKS"):
    with open(_path, encoding="utf-8") as _file:
        _port_by_address = json.load(_file)


def _relay_of(address):
    if not isinstance(address, tuple):
        return address
    return address[0], _port_by_address.get(f"{address[0]}:{address[1]}", address[1])


class _LinkedSocket(_socket.socket):
    """The base class of the standard library's sockets, also of those that eventlet uses."""

    __slots__ = ()

    def connect(self, address):
        return super().connect(_relay_of(address))

    def connect_ex(self, address):
        return super().connect_ex(_relay_of(address))


def _reset_connections(*_):
    """Abort each TCP connection, as a connect without an address does."""
    import ctypes

    connect = ctypes.CDLL(None, use_errno=True).connect
    no_address = struct.pack("H14x", _socket.AF_UNSPEC)
    for name in os.listdir("/proc/self/fd"):
        # The descriptor of the listing is closed by now.
        with contextlib.suppress(OSError):
            if stat.S_ISSOCK(os.fstat(int(name)).st_mode) and _is_connected(int(name)):
                connect(int(name), no_address, len(no_address))


def _is_connected(descriptor):
    connection = _socket.socket(fileno=os.dup(descriptor))
    try:
        connection.getpeername()
        return connection.family == _socket.AF_INET and connection.type == _socket.SOCK_STREAM
    finally:
        connection.close()


if _port_by_address:
    _socket.socket = _LinkedSocket
signal.signal(signal.SIGUSR2, _reset_connections)
