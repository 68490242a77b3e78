"""HTTP client and server: keep-alive, timeouts, refused connections and invalid responses."""

import socket

from chicoryproxy.eventloop.http import (
    HttpClient,
    HttpFailure,
    HttpResponse,
    HttpServer,
    HttpTimeout,
    ServerResponse,
)
from chicoryproxy.model import Endpoint
from tests.node.fakestore import HOST, pick_port, run_until


def get(loop, client, target, timeout_s=1.0):
    """Send one request and return its result."""
    results = []
    client.get(target, timeout_s, results.append)
    run_until(loop, lambda: results)
    return results[0]


def test_calls_share_a_connection(loop):
    server = HttpServer(loop, Endpoint(HOST, 0), lambda path: ServerResponse(200, path.encode()))
    client = HttpClient(loop, Endpoint(HOST, server.port))
    for target in ("/a", "/b?c=d"):
        response = get(loop, client, target)
        assert isinstance(response, HttpResponse)
        assert response.body == target.encode()
        assert response.keeps_alive
    client.close()
    server.close()


def test_a_refused_connection_differs_from_a_timeout(loop):
    refused = get(loop, HttpClient(loop, Endpoint(HOST, pick_port())), "/")
    assert isinstance(refused, HttpFailure)
    assert isinstance(refused.error, ConnectionRefusedError)
    with socket.socket() as silent:
        silent.bind((HOST, 0))
        silent.listen()
        client = HttpClient(loop, Endpoint(*silent.getsockname()))
        assert isinstance(get(loop, client, "/", 0.05), HttpTimeout)


def test_a_response_that_is_not_http_is_a_failure(loop):
    with socket.socket() as listener:
        listener.bind((HOST, 0))
        listener.listen()
        client = HttpClient(loop, Endpoint(*listener.getsockname()))
        results = []
        client.get("/", 2.0, results.append)

        def answer():
            connection, _ = listener.accept()
            connection.sendall(b"no such protocol\r\n\r\n")

        loop.call_later(0.05, answer)
        run_until(loop, lambda: results)
        assert isinstance(results[0], HttpFailure)


def test_a_client_can_switch_to_another_server(loop):
    first = HttpServer(loop, Endpoint(HOST, 0), lambda path: ServerResponse(200, b"first"))
    second = HttpServer(loop, Endpoint(HOST, 0), lambda path: ServerResponse(200, b"second"))
    client = HttpClient(loop, Endpoint(HOST, first.port))
    assert get(loop, client, "/").body == b"first"
    client.set_server(Endpoint(HOST, second.port))
    assert get(loop, client, "/").body == b"second"


def test_an_error_of_the_receiver_is_no_invalid_response(loop):
    """A fault in the handling of a response must be reported, and not be taken for the server's."""
    errors = []
    loop.on_error = errors.append
    server = HttpServer(loop, Endpoint(HOST, 0), lambda path: ServerResponse(200, b"ok"))
    client = HttpClient(loop, Endpoint(HOST, server.port))
    results = []

    def receive(result):
        results.append(result)
        raise LookupError("fault")

    client.get("/", 1.0, receive)
    run_until(loop, lambda: errors)
    client.close()
    server.close()
    assert [type(error) for error in errors] == [LookupError]
    assert [type(result) for result in results] == [HttpResponse]
