"""All endpoints of a service are restarted in turn, each under the id that it had."""

import asyncio
import collections
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from parts import deployment, wire  # noqa: E402

SERVICE = "catalog"
HOST = "press.example"
REQUESTS_PER_SECOND = 10
CALM_SECONDS = 25.0
# Seconds from the exit of an endpoint to its next start.
RESTART_SECONDS = 1.0
DOWN_SECONDS = 1.5
MEASURED_SECONDS = 8.0
CONFIGURATION = {
    "version": "r7",
    "routes": {
        "r-browse": {
            "host": HOST,
            "path_prefix": "/browse/",
            "kind": "safe",
            "timeout": "5000ms",
            "target_latency": "1200ms",
            "priority": 2,
            "service": SERVICE,
            "max_attempts": 2,
        }
    },
    "services": {
        name: {"health_check_path": "/healthz", "max_connections": 586}
        for name in (SERVICE, "archive")
    },
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 67108864,
        "header_timeout": "3000ms",
        "idle_timeout": "15000ms",
    },
}


async def play(machines, has_trouble):
    """Return whether the service is back after all daemons were killed at the end."""
    record = machines.record
    machines.store.configure(CONFIGURATION)
    for name in ("i-1", "i-2", "i-3"):
        await machines.add(deployment.Endpoint(machines, name, SERVICE))
    entry = await machines.add(deployment.Endpoint(machines, "i-9", "archive"))
    await machines.wait_ready()
    await asyncio.sleep(deployment.CONTACT_SECONDS)
    answers = []
    traffic = asyncio.create_task(keep_sending(entry.daemon, answers, record))
    await asyncio.sleep(CALM_SECONDS)
    if has_trouble:
        for machine in machines.machines[:3]:
            await restart(machine.endpoint)
    fault = record.seconds
    for machine in machines.machines:
        machine.daemon.kill()
        await machine.daemon.wait()
    await asyncio.sleep(DOWN_SECONDS)
    for machine in machines.machines:
        await machine.daemon.start()
    back = record.seconds
    await asyncio.sleep(deployment.RECOVERY_SECONDS + MEASURED_SECONDS)
    traffic.cancel()
    await asyncio.gather(traffic, return_exceptions=True)
    before = [status for sent, status in answers if sent < fault]
    after = [
        status for sent, status in answers if sent > back + deployment.RECOVERY_SECONDS
    ]
    record.write("before", statuses=dict(collections.Counter(before)))
    record.write("after", statuses=dict(collections.Counter(after)))
    served = (before.count(200) / len(before), after.count(200) / len(after))
    print("served before the final fault {:.2f}, after recovery {:.2f}".format(*served))
    return served[0] < 0.25 or served[1] >= 0.25


async def restart(endpoint):
    """Take an endpoint down as planned and start it again under its id."""
    host, _, port = endpoint.address.rpartition(":")
    endpoint.state = "draining"
    await endpoint.announce()
    await asyncio.sleep(deployment.DRAIN_SECONDS + 0.5)
    await endpoint.leave()
    await endpoint.exit()
    await asyncio.sleep(RESTART_SECONDS)
    endpoint.begin_again(int(time.time() * 1000))
    await endpoint.start(host, int(port))
    endpoint.begin_heartbeats()


async def keep_sending(daemon, answers, record):
    """Send requests until cancelled."""
    async with asyncio.TaskGroup() as tasks:
        number = 0
        while True:
            tasks.create_task(send(daemon, f"browse-{number}", answers, record))
            number += 1
            await asyncio.sleep(1.0 / REQUESTS_PER_SECOND)


async def send(daemon, identifier, answers, record):
    """Send one request and note the status of its answer, 0 for none."""
    headers = (
        ("Host", HOST),
        ("X-Request-Id", identifier),
        ("X-Deadline-Ms", "5000"),
    )
    data = wire.build_request("GET", "/browse/1", headers)
    sent = record.seconds
    record.write("send", request=identifier)
    try:
        status = (await deployment.ask(daemon.outbound, data, 5.0)).status
    except (OSError, EOFError, TimeoutError):
        status = 0
    record.write("answer", request=identifier, status=status)
    answers.append((sent, status))


if __name__ == "__main__":
    deployment.run_case(play, FOLDER)
