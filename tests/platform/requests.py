"""Reads requests that tests answer by hand."""

import re


def read_request(connection):
    """Read one HTTP request whole: its head and its body may arrive one after the other."""
    data = b""
    while not (head := re.match(rb"(?is).*content-length: (\d+).*?\r\n\r\n", data)) or len(
        data
    ) < head.end() + int(head[1]):
        received = connection.recv(65536)
        if not received:
            return
        data += received
