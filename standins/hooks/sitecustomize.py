"""Lets a process call other hosts through the relays of ``standins.links``.

Python imports this at the start of each process that has this folder on its path.  The file
named by ``STANDIN_LINKS`` holds the port of the relay for each address.
"""

import _socket
import json
import os

with open(os.environ["STANDIN_LINKS"], encoding="utf-8") as _file:
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


_socket.socket = _LinkedSocket
