"""Calls to other daemons over gRPC.

A connection that breaks after sending leaves the outcome unknown, and a payout
that was told "not run" wrongly would be sent twice. So a request is sent only
over a channel seen ready: a channel that doesn't get ready in time proves that
nothing was sent, and anything that fails after that is unknown.
"""

import contextlib
import threading

import grpc

from ..messages import Outcome, Reason, build_failure
from . import codec, peer_pb2_grpc

# Connecting within a region takes a few round trips; an address that takes
# longer is tried again by the next request while this one goes elsewhere.
CONNECT_TIMEOUT = 0.5
# A partner of gossip is used every second; an endpoint that gets no call for
# this long is worth a new connection.
IDLE_SECONDS = 120.0
# A silent peer, cut off without a closed connection, is noticed by pings.
CHANNEL_OPTIONS = (
    ("grpc.keepalive_time_ms", 10_000),
    ("grpc.keepalive_timeout_ms", 2_000),
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 2_000),
    ("grpc.enable_retries", 0),
    ("grpc.max_send_message_length", -1),
    ("grpc.max_receive_message_length", -1),
)


class Peer:
    """One other daemon's channel and whether it was ready when last heard of.

    gRPC tells of a channel's state by a thread that polls five times a second,
    for each channel. So it is asked only until the channel is ready, and again
    after a call has failed.
    """

    def __init__(self, address):
        self._channel = grpc.insecure_channel(address, options=CHANNEL_OPTIONS)
        self._ready = threading.Event()
        # A future that is done already calls back at once, inside the lock.
        self._lock = threading.RLock()
        self._connecting = None
        self.in_flight = 0
        self.last_used = 0.0
        self.stub = peer_pb2_grpc.PeerStub(self._channel)

    def wait_ready(self, timeout):
        """Return whether the channel is ready within `timeout` seconds."""
        if self._ready.is_set():
            return True
        with self._lock:
            if self._connecting is None:
                self._connecting = grpc.channel_ready_future(self._channel)
                self._connecting.add_done_callback(self._note_ready)
        return self._ready.wait(timeout)

    def note_failure(self):
        """Ask for the channel's state again before the next call."""
        self._ready.clear()

    def _note_ready(self, future):
        with self._lock:
            self._connecting = None
        if not future.cancelled():
            self._ready.set()

    def close(self):
        """Close the channel; calls in flight fail."""
        with self._lock:
            connecting = self._connecting
        if connecting is not None:
            connecting.cancel()
        self._channel.close()


class PeerClient:
    """Channels to the other daemons, opened at the first call.

    Args:
        clock: Returns the loop's time in seconds.
        token: Shown to the other daemons; "" for none.
    """

    def __init__(self, clock, token):
        self._clock = clock
        self._metadata = (("authorization", f"Bearer {token}"),) if token else ()
        self._peers = {}
        self._lock = threading.Lock()

    def call(self, endpoint, request):
        """Send one attempt and return its answer; never raises for the network.

        Args:
            endpoint: `messages.Endpoint` to send it to.
            request: The attempt.
        """
        with self._use_peer(endpoint.address) as peer:
            return self._call_peer(peer, request, endpoint.daemon)

    def _call_peer(self, peer, request, receiver):
        left = request.deadline - self._clock()
        if left <= 0:
            return build_failure(request, Outcome.NOT_RUN, Reason.DEADLINE)
        if not peer.wait_ready(min(left, CONNECT_TIMEOUT)):
            return build_failure(request, Outcome.NOT_RUN, Reason.NOT_SENT)
        return self._send(peer, request, receiver)

    def _send(self, peer, request, receiver):
        now = self._clock()
        message = codec.encode_request(request, now, receiver)
        timeout = max(0.001, request.deadline - now)
        try:
            reply = peer.stub.Call(message, timeout=timeout, metadata=self._metadata)
            answer = codec.decode_answer(reply)
        except grpc.RpcError as error:
            if error.code() is grpc.StatusCode.UNAVAILABLE:
                peer.note_failure()
            return _read_error(request, error)
        except ValueError:
            return build_failure(request, Outcome.UNKNOWN, Reason.BROKEN)
        if answer.attempt != request.attempt:
            # An answer to another attempt would hand one caller the answer of
            # another; the caller would see a stranger's data.
            return build_failure(request, Outcome.UNKNOWN, Reason.BROKEN)
        return answer

    def gossip(self, address, message, timeout):
        """Send one gossip message.

        Raises:
            grpc.RpcError: When the peer doesn't answer in `timeout` seconds.
        """
        with self._use_peer(address) as peer:
            return peer.stub.Gossip(message, timeout=timeout, metadata=self._metadata)

    def close_idle(self, now):
        """Close the channels that have not been used for `IDLE_SECONDS`.

        Gossip changes its partners every few seconds, and instances are
        replaced: without this a daemon would hold a channel to every daemon
        that there has ever been, and its memory would grow for weeks.
        """
        with self._lock:
            idle = [
                address
                for address, peer in self._peers.items()
                if not peer.in_flight and peer.last_used < now - IDLE_SECONDS
            ]
            closing = [self._peers.pop(address) for address in idle]
        for peer in closing:
            peer.close()

    def close(self):
        """Close all channels; calls in flight fail."""
        with self._lock:
            closing = list(self._peers.values())
            self._peers.clear()
        for peer in closing:
            peer.close()

    def __len__(self):
        return len(self._peers)

    @contextlib.contextmanager
    def _use_peer(self, address):
        """Lend a peer, which is not closed as idle meanwhile."""
        with self._lock:
            peer = self._peers.get(address)
            if peer is None:
                peer = self._peers[address] = Peer(address)
            peer.in_flight += 1
        try:
            yield peer
        finally:
            with self._lock:
                peer.in_flight -= 1
                peer.last_used = self._clock()


def _read_error(request, error):
    """Return the answer for an attempt that failed after it was sent."""
    reason = Reason.BROKEN
    if error.code() is grpc.StatusCode.DEADLINE_EXCEEDED:
        reason = Reason.DEADLINE
    return build_failure(request, Outcome.UNKNOWN, reason)
