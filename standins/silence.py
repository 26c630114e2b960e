"""Lets a host that is off be silent, as a machine of its own is; loopback refuses otherwise."""

import contextlib
import socket
from collections.abc import Iterable


@contextlib.contextmanager
def silent(addresses: Iterable[tuple[str, int]]):
    """Answer no request to connect to these addresses during the block; nothing may listen there.

    A listener whose queue is full drops requests, and callers repeat them, as over a network.
    """
    with contextlib.ExitStack() as sockets:
        for address in addresses:
            sockets.enter_context(socket.create_server(address, backlog=0))
            filler = sockets.enter_context(socket.socket())
            filler.connect(address)
        yield
