"""Addresses of hosts that are off answer nothing."""

import socket
import time

import pytest

from standins.silence import silent
from standins.site import loopback_address

ADDRESS = loopback_address(), 7720
SHORT_SECONDS = 0.4


def test_nothing_is_answered_or_refused_until_the_block_ends():
    with silent([ADDRESS]):
        for _ in range(4):
            with pytest.raises(TimeoutError):
                socket.create_connection(ADDRESS, SHORT_SECONDS)
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection(ADDRESS, SHORT_SECONDS)


def test_a_host_that_is_back_accepts_requests_that_were_repeated():
    caller = socket.socket()
    caller.setblocking(False)
    with silent([ADDRESS]):
        caller.connect_ex(ADDRESS)
        time.sleep(SHORT_SECONDS)
    with caller, socket.create_server(ADDRESS) as listener:
        # The first repetition comes after 1 s.
        listener.settimeout(3.0)
        listener.accept()[0].close()
