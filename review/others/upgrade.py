"""A client offers an upgrade to HTTP/2 on a request with a body."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from parts import deployment, wire  # noqa: E402

SERVICE = "royalties"
HOST = "press.example"
BODY = b"poet=17&amount=250"
# What a client for HTTP/2 without TLS sends on its first request (RFC 7540, 3.2). A
# server that doesn't switch answers the request as if it had no such headers.
OFFER = (
    ("Connection", "Upgrade, HTTP2-Settings"),
    ("Upgrade", "h2c"),
    ("HTTP2-Settings", "AAMAAABkAARAAAAAAAIAAAAA"),
)
CONFIGURATION = {
    "version": "r7",
    "routes": {
        "r-payout": {
            "host": HOST,
            "path_prefix": "/payout/",
            "kind": "unsafe",
            "timeout": "5000ms",
            "target_latency": "1500ms",
            "priority": 0,
            "service": SERVICE,
            "max_attempts": 2,
        }
    },
    "services": {
        name: {"health_check_path": "/healthz", "max_connections": 586}
        for name in (SERVICE, "catalog")
    },
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 67108864,
        "header_timeout": "3000ms",
        "idle_timeout": "15000ms",
    },
}


class Keeper(deployment.Endpoint):
    """An endpoint that keeps the body of each request that it runs."""

    def __init__(self, *args, bodies, **kwargs):
        super().__init__(*args, **kwargs)
        self._bodies = bodies

    async def answer(self, request, writer):
        """Run a request and return the bytes of its answer."""
        self._bodies[request.find("x-request-id")] = request.body
        return await super().answer(request, writer)


async def play(machines, has_trouble):
    """Return whether the endpoints ran all requests with the bodies that were sent."""
    record, bodies, answers = machines.record, {}, {}
    machines.store.configure(CONFIGURATION)
    for name in ("i-1", "i-2"):
        await machines.add(Keeper(machines, name, SERVICE, bodies=bodies))
    entry = await machines.add(deployment.Endpoint(machines, "i-9", "catalog"))
    await machines.wait_ready()
    await asyncio.sleep(deployment.CONTACT_SECONDS)
    for number in range(10):
        identifier = f"payout-{number}"
        headers = (
            ("Host", HOST),
            ("X-Request-Id", identifier),
            ("X-Deadline-Ms", "5000"),
            *(OFFER if has_trouble else ()),
        )
        data = wire.build_request("POST", "/payout/1", headers, BODY)
        record.write("send", request=identifier, body=BODY)
        response = await deployment.ask(entry.daemon.outbound, data, 5.0)
        answers[identifier] = response.status
        record.write("answer", request=identifier, status=response.status)
    changed = [each for each in sorted(bodies) if bodies[each] != BODY]
    for each in changed:
        record.write("changed", request=each, body=bodies[each])
    print(f"answers {sorted(answers.values())}")
    print(f"run with another body: {len(changed)} of {len(bodies)}")
    return not changed


if __name__ == "__main__":
    deployment.run_case(play, FOLDER)
