"""A daemon is killed after it has acknowledged that its endpoint is gone."""

import asyncio
import collections
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from parts import deployment, wire  # noqa: E402

SERVICE = "royalties"
HOST = "press.example"
REQUESTS_PER_SECOND = 15
DEADLINE = 5.0
# Seconds of calm traffic before the endpoint leaves.
CALM_SECONDS = 6.0
# Seconds from the acknowledged DELETE to the kill, and to the start of the daemon.
KILL_SECONDS = 0.2
DOWN_SECONDS = 0.5
# Seconds by which the last heartbeat before the DELETE arrives late.
LATE_SECONDS = 3.0
# The endpoint serves on for the drain time and some more seconds.
SERVES_ON_SECONDS = 12.0
AFTER_SECONDS = 4.0
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


async def play(machines, has_trouble):
    """Return whether no request reaches an endpoint that has left for too long."""
    record = machines.record
    machines.store.configure(CONFIGURATION)
    for name in ("i-1", "i-2"):
        await machines.add(deployment.Endpoint(machines, name, SERVICE, work=0.4))
    entry = await machines.add(deployment.Endpoint(machines, "i-9", "catalog"))
    await machines.wait_ready()
    await asyncio.sleep(deployment.CONTACT_SECONDS)
    answers = {}
    traffic = asyncio.create_task(keep_sending(entry.daemon, answers, record))
    await asyncio.sleep(CALM_SECONDS)
    acknowledged = await remove_endpoint(machines.machines[0], record, has_trouble)
    await asyncio.sleep(AFTER_SECONDS)
    traffic.cancel()
    await asyncio.gather(traffic, return_exceptions=True)
    return judge(machines, acknowledged, answers)


async def remove_endpoint(machine, record, has_trouble):
    """Take the endpoint of a machine away; return when its DELETE was acknowledged."""
    endpoint, daemon = machine.endpoint, machine.daemon
    endpoint.end_heartbeats()
    late = endpoint.build_heartbeat()
    record.write("heartbeat-sent", id=endpoint.identity, state=endpoint.state)
    late_arrival = asyncio.create_task(arrive_late(endpoint, late))
    if await endpoint.leave() != 200:
        raise RuntimeError("the DELETE was not acknowledged")
    acknowledged = record.seconds
    await asyncio.sleep(KILL_SECONDS)
    if has_trouble:
        daemon.kill()
        await daemon.wait()
        await asyncio.sleep(DOWN_SECONDS)
        await daemon.start()
    await late_arrival
    await asyncio.sleep(acknowledged + SERVES_ON_SECONDS - record.seconds)
    await endpoint.exit()
    return acknowledged


async def arrive_late(endpoint, data):
    """Let a heartbeat reach the daemon seconds after it was sent."""
    await asyncio.sleep(LATE_SECONDS)
    await endpoint.announce(data)


def judge(machines, acknowledged, answers):
    """Return whether the rule held."""
    record = machines.record
    left, beside = machines.machines[0].endpoint, machines.machines[0].daemon
    # The daemon beside the endpoint sends on too, and must be in touch by then.
    since = max(
        acknowledged + deployment.DRAIN_SECONDS,
        beside.disturbed + deployment.CONTACT_SECONDS,
    )
    late = [
        run
        for run in machines.runs
        if run.endpoint == left.identity and run.seconds > since
    ]
    lost = [request for request, status in answers.items() if status in (0, 502)]
    statuses = dict(collections.Counter(answers.values()))
    record.write("late-arrivals", count=len(late), since=round(since, 3))
    record.write("lost", count=len(lost), requests=",".join(lost))
    record.write("answers", statuses=statuses)
    print(f"answers {statuses}, 0 for none")
    print(f"requests at the endpoint that had left: {len(late)}; lost: {len(lost)}")
    return not late


async def keep_sending(daemon, answers, record):
    """Send payouts until cancelled."""
    async with asyncio.TaskGroup() as tasks:
        number = 0
        while True:
            tasks.create_task(send(daemon, f"payout-{number}", answers, record))
            number += 1
            await asyncio.sleep(1.0 / REQUESTS_PER_SECOND)


async def send(daemon, identifier, answers, record):
    """Send one payout and record the status of its answer, 0 for none."""
    headers = (
        ("Host", HOST),
        ("X-Request-Id", identifier),
        ("X-Deadline-Ms", str(int(DEADLINE * 1000))),
    )
    data = wire.build_request("POST", "/payout/1", headers, b"amount=1")
    record.write("send", request=identifier)
    try:
        status = (await deployment.ask(daemon.outbound, data, DEADLINE)).status
    except (OSError, EOFError, TimeoutError):
        status = 0
    answers[identifier] = status
    record.write("answer", request=identifier, status=status)


if __name__ == "__main__":
    deployment.run_case(play, FOLDER)
