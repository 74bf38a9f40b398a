"""Fuzz tests of requests and messages split or damaged at random places."""

import asyncio
import contextlib
import itertools
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from whinwinch.daemons import frames
from whinwinch.http1 import messages, server

FUZZ = settings(derandomize=True, max_examples=150, deadline=None)
BODIES = st.lists(st.binary(max_size=12), min_size=1, max_size=4)
CUTS = st.lists(st.integers(0, 400), max_size=6)


class Transport:
    """Fake transport that records what a connection writes."""

    def __init__(self):
        self.written = b""
        self.is_closed = False

    def get_extra_info(self, name):
        return ("127.0.0.1", 1)

    def write(self, data):
        self.written += data

    def close(self):
        self.is_closed = True

    abort = close

    def is_closing(self):
        return self.is_closed

    def can_write_eof(self):
        return False

    def pause_reading(self):
        pass

    def resume_reading(self):
        pass


async def feed(pieces):
    """Feed a server connection; return the requests read and the bytes written."""
    requests = []

    async def answer(http, sender):
        requests.append(http)
        return messages.HttpResponse(200, "OK", (), http.body)

    served = server.Server(answer, server.Limits(body_bytes=100))
    connection = server.Connection(served)
    transport = Transport()
    connection.connection_made(transport)
    for piece in pieces:
        connection.data_received(piece)
        # Each request is a task, which two iterations of the loop complete.
        await asyncio.sleep(0)
        await asyncio.sleep(0)
    connection.connection_lost(None)
    return requests, transport.written


def build_request_bytes(number, body, is_chunked):
    """Return the bytes of a request."""
    head = b"POST /%d HTTP/1.1\r\nHost: h\r\n" % number
    if is_chunked:
        chunk = b"%x\r\n%s\r\n" % (len(body), body) if body else b""
        return head + b"Transfer-Encoding: chunked\r\n\r\n" + chunk + b"0\r\n\r\n"
    return head + b"Content-Length: %d\r\n\r\n%s" % (len(body), body)


def split(data, places):
    """Return data split at some places."""
    edges = [0, *sorted(min(place, len(data)) for place in places), len(data)]
    return [data[a:b] for a, b in itertools.pairwise(edges)]


class HttpFuzzTest(unittest.TestCase):
    @FUZZ
    @given(BODIES, st.booleans(), CUTS)
    def test_split_requests_are_read_like_whole_ones(self, bodies, chunked, cuts):
        data = b"".join(
            build_request_bytes(n, body, chunked) for n, body in enumerate(bodies)
        )
        requests, written = asyncio.run(feed([*split(data, cuts), b""]))
        self.assertEqual([http.body for http in requests], bodies)
        self.assertEqual(
            [http.target for http in requests], [f"/{n}" for n, _ in enumerate(bodies)]
        )
        self.assertEqual(written.count(b"HTTP/1.1 200"), len(bodies))

    @FUZZ
    @given(
        BODIES, st.booleans(), st.integers(0, 400), st.binary(min_size=1, max_size=3)
    )
    def test_damaged_bytes_never_turn_one_request_into_several(
        self, bodies, chunked, place, damage
    ):
        """Some bytes are changed in transit.

        A part of a request's body must not be read and run as another request.
        """
        data = b"".join(
            build_request_bytes(n, body, chunked) for n, body in enumerate(bodies)
        )
        place = min(place, len(data))
        changed = data[:place] + damage + data[place + len(damage) :]
        requests, written = asyncio.run(feed([changed]))
        self.assertLessEqual(len(requests), len(bodies))
        answers = written.count(b"HTTP/1.1 ")
        self.assertLessEqual(answers, len(bodies) + 1)
        self.assertEqual(written.count(b"HTTP/1.1 500"), 0)


class FrameFuzzTest(unittest.TestCase):
    @FUZZ
    @given(st.binary(max_size=60))
    def test_any_bytes_are_messages_or_an_error(self, data):
        """A program with another protocol connects to a daemon's peer port."""
        with contextlib.suppress(frames.FrameError):
            for frame in frames.decode_frames(frames.build_unpacker(), data, 0.0):
                self.assertIn(type(frame), frames.KINDS)


if __name__ == "__main__":
    unittest.main()
