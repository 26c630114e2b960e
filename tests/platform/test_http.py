import http.client
import socket
import threading

import eventlet
import pytest
from savoryshelf_platform.http import Reply, read_body, serve


def test_an_unexpected_error_ends_neither_the_server_nor_the_connection():
    def answer(environ):
        if environ["PATH_INFO"] == "/fails":
            raise ZeroDivisionError
        return Reply(200)

    server = serve("127.0.0.1:0", answer)
    statuses = []

    def call():
        connection = http.client.HTTPConnection(*server.address.split(":"), timeout=5.0)
        for path in ("/fails", "/works"):
            connection.request("GET", path)
            response = connection.getresponse()
            response.read()
            statuses.append(response.status)
        connection.close()

    # A native thread: the server needs this one's hub.
    client = threading.Thread(target=call)
    client.start()
    while client.is_alive():
        eventlet.sleep(0.01)
    assert statuses == [502, 200]


# Guards against an invalid manifest, cut short on its way, that is answered 502 and so sent again.
@pytest.mark.parametrize(
    "body",
    [
        b"Content-Length: 9\r\n\r\nabcde",
        b"Transfer-Encoding: chunked\r\n\r\n9\r\nabcde",
        b"Transfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n",
        b"Transfer-Encoding: chunked\r\n\r\nno number\r\n",
    ],
    ids=["length", "in a chunk", "between chunks", "odd chunk"],
)
def test_a_body_that_is_cut_short_is_refused(body):
    server = serve(
        "127.0.0.1:0", lambda environ: Reply(413 if read_body(environ, 1000) is None else 200)
    )
    answers = []

    def call():
        with socket.create_connection(tuple(server.address.split(":")), timeout=5.0) as connection:
            connection.sendall(b"POST / HTTP/1.1\r\nHost: h\r\n" + body)
            connection.shutdown(socket.SHUT_WR)
            answers.append(connection.recv(65536))

    client = threading.Thread(target=call)
    client.start()
    while client.is_alive():
        eventlet.sleep(0.01)
    assert answers[0].startswith(b"HTTP/1.1 413 ")
