import http.client
import threading

import eventlet
from savoryshelf_platform.http import Reply, serve


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
