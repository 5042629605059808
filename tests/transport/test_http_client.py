"""Tests of the client towards a backend server, with real connections."""

import unittest

import trio
from nose2.tools import params

from catkinpost.protocol.http import HttpLimits, HttpRequest, HttpResponse
from catkinpost.protocol.outcome import Outcome, Reason
from catkinpost.transport.http_client import BackendClient
from tests.clock import on_mock_clock

REQUEST = HttpRequest(b"POST", b"/orders", [(b"host", b"orders")], b"body")
GOOD = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
HOST = "127.0.0.1"


class ScriptedServer:
    """Server that sends scripted bytes for each request and then may close.

    :param answers: bytes for one request after the other; ``None`` closes.
    :param close: whether the connection is closed after each answer.
    """

    def __init__(self, answers, *, close=False):
        self.answers = list(answers)
        self.close = close
        self.accepted = 0
        self.requests = 0
        self.closed_by_client = trio.Event()

    async def serve(self, stream):
        self.accepted += 1
        async with stream:
            while await stream.receive_some(65536):
                self.requests += 1
                answer = self.answers.pop(0) if self.answers else None
                if answer is None:
                    return
                if answer:
                    await stream.send_all(answer)
                if self.close:
                    return
            self.closed_by_client.set()

    async def start(self, nursery):
        listeners = await trio.open_tcp_listeners(0, host=HOST)
        nursery.start_soon(trio.serve_listeners, self.serve, listeners)
        port = listeners[0].socket.getsockname()[1]
        return BackendClient(HOST, port, limits=HttpLimits(max_body_bytes=64))


class TestBackendClient(unittest.TestCase):
    @on_mock_clock(io=True)
    async def test_connection_is_used_again(self):
        async with trio.open_nursery() as nursery:
            server = ScriptedServer([GOOD, GOOD])
            client = await server.start(nursery)
            for _ in range(2):
                answer = await client.exchange(REQUEST)
                self.assertEqual(answer.body, b"ok")
            self.assertEqual(server.accepted, 1)
            nursery.cancel_scope.cancel()

    @on_mock_clock(io=True)
    async def test_connection_closed_while_idle_is_not_used_again(self):
        async with trio.open_nursery() as nursery:
            server = ScriptedServer([GOOD, GOOD], close=True)
            client = await server.start(nursery)
            for _ in range(2):
                self.assertIsInstance(await client.exchange(REQUEST), HttpResponse)
                await trio.sleep(0.01)
            self.assertEqual(server.accepted, 2)
            nursery.cancel_scope.cancel()

    @on_mock_clock(io=True)
    async def test_connection_that_was_idle_for_long_is_not_used_again(self):
        async with trio.open_nursery() as nursery:
            server = ScriptedServer([GOOD, GOOD])
            client = await server.start(nursery)
            await client.exchange(REQUEST)
            await trio.sleep(60)
            await client.exchange(REQUEST)
            self.assertEqual(server.accepted, 2)
            nursery.cancel_scope.cancel()

    @on_mock_clock(io=True)
    async def test_refused_connection_means_not_run(self):
        listeners = await trio.open_tcp_listeners(0, host=HOST)
        port = listeners[0].socket.getsockname()[1]
        await listeners[0].aclose()
        client = BackendClient(HOST, port, limits=HttpLimits())
        failure = await client.exchange(REQUEST)
        self.assertEqual(failure.reason, Reason.BACKEND_UNREACHABLE)
        self.assertEqual(failure.outcome, Outcome.NOT_RUN)

    @params(
        (None, Reason.BACKEND_CONNECTION_LOST),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ncut", "cut"),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\ncu", "cut"),
        (b"HTTP/1.1 200 OK\r\n", "cut"),
        (b"HTTP/1.1 200 OK\r\n\r\nno length", Reason.BACKEND_BAD_ANSWER),
        (b"what is this\r\n\r\n", Reason.BACKEND_BAD_ANSWER),
        (GOOD + GOOD, Reason.BACKEND_BAD_ANSWER),
        (
            b"HTTP/1.1 200 OK\r\nContent-Length: 65\r\n\r\n" + b"x" * 65,
            Reason.BACKEND_BAD_ANSWER,
        ),
    )
    def test_unusable_answer_is_unknown_and_never_passed_on(self, answer, reason):
        if reason == "cut":
            reason = Reason.BACKEND_CONNECTION_LOST
        self.check_unusable(answer, reason)

    @on_mock_clock(io=True)
    async def check_unusable(self, answer, reason):
        async with trio.open_nursery() as nursery:
            server = ScriptedServer([answer], close=True)
            client = await server.start(nursery)
            failure = await client.exchange(REQUEST)
            self.assertEqual(failure.reason, reason)
            self.assertEqual(failure.outcome, Outcome.UNKNOWN)
            self.assertFalse(client.idle)
            nursery.cancel_scope.cancel()

    @on_mock_clock(io=True)
    async def test_cancelled_exchange_closes_its_connection(self):
        async with trio.open_nursery() as nursery:
            server = ScriptedServer([b""])
            client = await server.start(nursery)
            with trio.move_on_after(0.5):
                await client.exchange(REQUEST)
            await server.closed_by_client.wait()
            self.assertFalse(client.idle)
            nursery.cancel_scope.cancel()
