"""Closes listening sockets without resetting connections that the kernel has taken."""

import ctypes
import socket
import struct

from eventlet.greenio import GreenSocket

from .observability.logs import log_event

ACCEPT_RETRY_SECONDS = 0.1
"""Pause after a failed accept, for example for want of a file descriptor."""

_SO_ATTACH_FILTER = 26
"""Linux's socket option; the socket module does not name it."""

_RETURN_ZERO = struct.pack("HBBI", 0x06, 0, 0, 0)
"""A classic BPF program of one instruction, by which the kernel drops every packet."""


def close_listener(listener: GreenSocket) -> list[tuple[GreenSocket, tuple]]:
    """Close a listening socket; return the connections that waited, with their addresses.

    Closing resets what is in the accept queue, and a connection may enter it between the
    last accept and the close.  So the kernel first drops new connections: their callers
    get a refusal once they try again, and know that nothing was run.
    """
    program = ctypes.create_string_buffer(_RETURN_ZERO, len(_RETURN_ZERO))
    attached = struct.pack("HL", 1, ctypes.addressof(program))
    try:
        listener.setsockopt(socket.SOL_SOCKET, _SO_ATTACH_FILTER, attached)
    except OSError as error:
        # A connection that enters the queue before the close is then reset.
        log_event("listener:filter_unavailable", error=repr(error))
    listener.settimeout(0.0)
    connections = []
    while True:
        try:
            accepted, address = listener.accept()
        except BlockingIOError:
            break
        except ConnectionAbortedError:
            continue
        except OSError as error:
            log_event("listener:accept_failed", error=repr(error))
            break
        connections.append((GreenSocket(accepted), address))
    listener.close()
    return connections
