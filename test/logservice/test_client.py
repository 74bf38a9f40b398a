"""Tests of the log client against a server with scripted answers."""

import base64
import json
import socket
import threading
import unittest

from whinwinch.logservice import client


class ScriptedServer:
    """Answers each connection with the next scripted bytes, then closes it."""

    def __init__(self, *answers):
        self.requests = []
        self._answers = answers
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.url = "http://127.0.0.1:%d" % self._listener.getsockname()[1]
        self._thread = threading.Thread(target=self._serve, daemon=True)
        self._thread.start()

    def _serve(self):
        for answer in self._answers:
            connection, _ = self._listener.accept()
            with connection:
                self.requests.append(receive_request(connection))
                connection.sendall(answer)

    def close(self):
        self._thread.join()
        self._listener.close()


def receive_request(connection):
    received = b""
    while b"\r\n\r\n" not in received:
        received += connection.recv(65536)
    head, _, body = received.partition(b"\r\n\r\n")
    for line in head.split(b"\r\n"):
        if line.lower().startswith(b"content-length:"):
            length = int(line.partition(b":")[2])
            while len(body) < length:
                body += connection.recv(65536)
    return head.split(b"\r\n")[0], body


def answer_with(status, fields, cut=0):
    body = json.dumps(fields).encode()
    head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body[: len(body) - cut]


class ClientTest(unittest.TestCase):
    def connect(self, *answers):
        server = ScriptedServer(*answers)
        log = client.LogClient(server.url)
        self.addCleanup(server.close)
        self.addCleanup(log.close)
        return server, log

    def test_appends_once_and_returns_the_offset(self):
        server, log = self.connect(answer_with(201, {"offset": 7}))
        self.assertEqual(log.append("claims", b"\x00data"), 7)
        self.assertEqual(
            server.requests, [(b"POST /streams/claims HTTP/1.1", b"\x00data")]
        )

    def test_reads_a_page(self):
        data = base64.b64encode(b"\xffx").decode()
        record = {"offset": 3, "time": 1.5, "data": data}
        server, log = self.connect(
            answer_with(200, {"first": 2, "next": 4, "records": [record]})
        )
        page = log.read("members", 3, limit=10, wait=0.5)
        self.assertEqual(
            page, client.Page((client.Record(3, 1.5, b"\xffx"),), first=2, next=4)
        )
        self.assertEqual(
            server.requests[0][0],
            b"GET /streams/members?offset=3&limit=10&wait=0.5 HTTP/1.1",
        )

    def test_refused_connection_is_reported_as_not_written(self):
        """Guards against reporting a refused connection as an unknown result.

        The log's process has exited. The caller of non-idempotent work can get the
        outcome that it was not run.
        """
        with socket.create_server(("127.0.0.1", 0)) as listener:
            port = listener.getsockname()[1]
        log = client.LogClient(f"http://127.0.0.1:{port}")
        with self.assertRaises(client.LogUnavailable) as caught:
            log.append("claims", b"x")
        self.assertIs(caught.exception.written, False)

    def test_status_determines_whether_the_record_was_written(self):
        for status, written in ((503, False), (404, False), (500, None), (200, None)):
            with self.subTest(status=status):
                _, log = self.connect(answer_with(status, {}))
                with self.assertRaises(client.LogUnavailable) as caught:
                    log.append("claims", b"x")
                self.assertIs(caught.exception.written, written)

    def test_lost_answer_is_unknown_and_not_retried(self):
        """Guards against appending a record twice after a lost answer.

        The log writes the record, then the connection breaks. A retry would add a
        payout's claim to the stream twice, so the client sends it once and reports
        the result as unknown.
        """
        for answer in (b"", answer_with(201, {"offset": 7}, cut=3), b"HTTP/1.1 2"):
            with self.subTest(answer=answer):
                server, log = self.connect(answer)
                with self.assertRaises(client.LogUnavailable) as caught:
                    log.append("claims", b"x")
                self.assertIs(caught.exception.written, None)
                self.assertEqual(len(server.requests), 1)

    def test_silent_log_is_unknown(self):
        """Guards against hanging on a log that never answers.

        The log accepts the connection only. The caller gets a timely error that
        leaves the result unknown.
        """
        with socket.create_server(("127.0.0.1", 0)) as listener:
            log = client.LogClient("http://127.0.0.1:%d" % listener.getsockname()[1])
            self.addCleanup(log.close)
            with self.assertRaises(client.LogUnavailable) as caught:
                log.append("claims", b"x", timeout=0.05)
        self.assertIs(caught.exception.written, None)

    def test_truncated_page_is_an_error_and_never_a_partial_page(self):
        page = {"first": 0, "next": 0, "records": []}
        for answer in (
            answer_with(200, page, cut=2),
            answer_with(200, {"first": 0}),
            answer_with(503, {}),
        ):
            with self.subTest(answer=answer):
                _, log = self.connect(answer)
                with self.assertRaises(client.LogUnavailable) as caught:
                    log.read("claims", 0)
                self.assertIs(caught.exception.written, False)


if __name__ == "__main__":
    unittest.main()
