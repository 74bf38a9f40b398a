"""Calls to other daemons over gRPC.

A connection that breaks after sending leaves the outcome unknown, and a payout
that was told "not run" wrongly would be sent twice. So a request is sent only
over a channel seen ready: a channel that doesn't get ready in time proves that
nothing was sent, and anything that fails after that is unknown.
"""

import threading

import grpc

from ..messages import Answer, Outcome, Reason
from . import codec, peer_pb2_grpc

# Connecting within a region takes a few round trips; an address that takes
# longer is tried again by the next request while this one goes elsewhere.
CONNECT_TIMEOUT = 0.5
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
    """One other daemon's channel and whether it is ready."""

    def __init__(self, address):
        self._ready = threading.Event()
        self._channel = grpc.insecure_channel(address, options=CHANNEL_OPTIONS)
        self.stub = peer_pb2_grpc.PeerStub(self._channel)
        self._channel.subscribe(self._note_state, try_to_connect=True)

    def _note_state(self, state):
        if state is grpc.ChannelConnectivity.READY:
            self._ready.set()
            return
        self._ready.clear()

    def wait_ready(self, timeout):
        """Return whether the channel is ready within `timeout` seconds."""
        if self._ready.is_set():
            return True
        # An idle channel connects only when it is asked to.
        self._channel.subscribe(_ignore_state, try_to_connect=True)
        ready = self._ready.wait(timeout)
        self._channel.unsubscribe(_ignore_state)
        return ready

    def close(self):
        """Close the channel; calls in flight fail."""
        self._channel.close()


def _ignore_state(state):
    del state


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

    def call(self, address, request):
        """Send one attempt and return its answer; never raises for the network."""
        peer = self._find_peer(address)
        left = request.deadline - self._clock()
        if left <= 0:
            return _build_failure(request, Outcome.NOT_RUN, Reason.DEADLINE)
        if not peer.wait_ready(min(left, CONNECT_TIMEOUT)):
            return _build_failure(request, Outcome.NOT_RUN, Reason.NOT_SENT)
        return self._send(peer, request)

    def _send(self, peer, request):
        now = self._clock()
        message = codec.encode_request(request, now)
        timeout = max(0.001, request.deadline - now)
        try:
            reply = peer.stub.Call(message, timeout=timeout, metadata=self._metadata)
            answer = codec.decode_answer(reply)
        except grpc.RpcError as error:
            return _read_error(request, error)
        except ValueError:
            return _build_failure(request, Outcome.UNKNOWN, Reason.BROKEN)
        if answer.attempt != request.attempt:
            # An answer to another attempt would hand one caller the answer of
            # another; the caller would see a stranger's data.
            return _build_failure(request, Outcome.UNKNOWN, Reason.BROKEN)
        return answer

    def gossip(self, address, message, timeout):
        """Send one gossip message.

        Raises:
            grpc.RpcError: When the peer doesn't answer in `timeout` seconds.
        """
        peer = self._find_peer(address)
        return peer.stub.Gossip(message, timeout=timeout, metadata=self._metadata)

    def forget(self, addresses):
        """Close the channels to all daemons but those at `addresses`."""
        with self._lock:
            gone = [address for address in self._peers if address not in addresses]
            closing = [self._peers.pop(address) for address in gone]
        for peer in closing:
            peer.close()

    def close(self):
        """Close all channels."""
        self.forget(frozenset())

    def _find_peer(self, address):
        with self._lock:
            peer = self._peers.get(address)
            if peer is None:
                peer = self._peers[address] = Peer(address)
            return peer


def _read_error(request, error):
    """Return the answer for an attempt that failed after it was sent."""
    reason = Reason.BROKEN
    if error.code() is grpc.StatusCode.DEADLINE_EXCEEDED:
        reason = Reason.DEADLINE
    return _build_failure(request, Outcome.UNKNOWN, reason)


def _build_failure(request, outcome, reason):
    """Return a failure; an answer that never came returns none of the budget."""
    unused = request.budget if outcome is Outcome.NOT_RUN else 0
    return Answer(request.attempt, outcome, reason, status=503, unused=unused)
