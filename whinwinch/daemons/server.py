"""Serving of other daemons over gRPC."""

import concurrent.futures

import grpc

from ..messages import Answer, Outcome, Reason
from ..operators import access
from . import codec, peer_pb2_grpc

# Threads are made only when needed. The gate bounds the work in service and
# waiting far below this, so that a refusal always finds a thread.
CALL_THREADS = 512
SERVER_OPTIONS = (
    ("grpc.max_send_message_length", -1),
    ("grpc.max_receive_message_length", -1),
    ("grpc.so_reuseport", 0),
    ("grpc.http2.min_recv_ping_interval_without_data_ms", 5_000),
    ("grpc.keepalive_permit_without_calls", 1),
)


class PeerServicer(peer_pb2_grpc.PeerServicer):
    """Hands calls to the gatekeeper and gossip to the membership task.

    Args:
        own: Identifier of this daemon.
        serve: Takes a `Request`, returns its `Answer`.
        answer_gossip: Takes a `GossipMessage`, returns a `GossipAnswer`.
        clock: Returns the loop's time in seconds.
        tokens: The setting with the tokens that are taken; "" takes everyone.
    """

    def __init__(self, own, serve, answer_gossip, clock, tokens):
        self._own = own
        self._serve = serve
        self._answer_gossip = answer_gossip
        self._clock = clock
        self._tokens = tokens

    def Call(self, request, context):
        """Serve one attempt."""
        self._check_token(context)
        try:
            decoded = codec.decode_request(request, self._clock(), self._own)
        except ValueError:
            return _refuse_undecodable(request)
        return codec.encode_answer(self._serve(decoded))

    def Gossip(self, request, context):
        """Answer one gossip message."""
        self._check_token(context)
        return self._answer_gossip(request)

    def _check_token(self, context):
        """End the call with PERMISSION_DENIED unless the token is right."""
        if not self._tokens:
            return
        metadata = {item.key: item.value for item in context.invocation_metadata()}
        header = metadata.get("authorization", "")
        if not access.check_peer_token(header, self._tokens):
            context.abort(grpc.StatusCode.PERMISSION_DENIED, "wrong peer token")


def _refuse_undecodable(request):
    answer = Answer(
        request.attempt,
        Outcome.NOT_RUN,
        Reason.BAD_REQUEST,
        status=400,
        unused=request.budget,
    )
    return codec.encode_answer(answer)


def start_server(servicer, address):
    """Start serving and return the server.

    Raises:
        RuntimeError: When the address can't be listened on.
    """
    threads = concurrent.futures.ThreadPoolExecutor(CALL_THREADS, "peer")
    server = grpc.server(threads, options=SERVER_OPTIONS)
    peer_pb2_grpc.add_PeerServicer_to_server(servicer, server)
    server.add_insecure_port(str(address))
    server.start()
    return server
