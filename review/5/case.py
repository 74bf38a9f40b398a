"""A late heartbeat undoes the acknowledged leave of an endpoint that had restarted."""

import asyncio
import itertools
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "parts-2"))
import kit

DRAIN_SECONDS = 2.0
# Seconds for which one heartbeat is on its way.
LATE_SECONDS = 3.0
RATE = 40.0


async def case(record, folder, daemons, trouble):
    """Play the case; return whether the rule held, None if it couldn't run."""
    store = kit.Store(record)
    store_port = await store.listen()
    routes = {
        "r-pay": kit.build_route("/pay/", "pay", "unsafe"),
        "r-shop": kit.build_route("/shop/", "shop", "safe"),
    }
    store.put("keyed.op", "config", kit.build_configuration(7, routes))
    endpoints = []
    for number, service in enumerate(("pay", "pay", "shop"), 1):
        daemon = kit.Daemon(record, folder, f"sidecar-{number}", service, store_port)
        daemons.append(daemon)
        await daemon.start()
        endpoint = kit.Endpoint(record, f"i-{number}", service)
        endpoint.control = daemon.control
        await endpoint.start(daemon.app)
        endpoints.append(endpoint)
    first = endpoints[0]
    others = [asyncio.ensure_future(each.keep_reporting()) for each in endpoints[1:]]
    beats = asyncio.ensure_future(first.keep_reporting())

    async def all_ready():
        return all([await each.is_ready() for each in daemons])

    if not await kit.wait_until(all_ready, 15):
        return None
    await asyncio.sleep(2.0)
    answers, stop = [], asyncio.Event()

    async def send(number, port):
        name = f"req-{number}"
        headers = (("X-Request-Id", name), ("X-Deadline-Ms", "5000"))
        try:
            status, _, _ = await kit.send_http(
                port, "POST", f"/pay/{number}", headers, b"amount=10", 6.0
            )
        except (OSError, TimeoutError):
            status = 0
        answers.append((name, status))
        record.write(f"client {name} gets {status}")

    async def press():
        tasks = []
        for number in itertools.count(1):
            if stop.is_set():
                break
            port = daemons[1 + number % 2].outbound
            tasks.append(asyncio.ensure_future(send(number, port)))
            await asyncio.sleep(1.0 / RATE)
        await asyncio.gather(*tasks)

    clients = asyncio.ensure_future(press())
    await asyncio.sleep(3.0)
    beats.cancel()
    if trouble:
        record.write("endpoint i-1 crashes")
        first.crash()
        await asyncio.sleep(1.0)
        await first.restart()
        record.write(f"endpoint i-1 runs again, born {first.born}")
    # Its next heartbeat is late: the endpoint waits a second for the answer.
    first.sequence += 1
    late = first.build_heartbeat()
    record.write(f"endpoint i-1 sends a heartbeat, seq {first.sequence}; it is late")

    async def deliver():
        await asyncio.sleep(LATE_SECONDS)
        status = await first.send("PUT", late)
        record.write(f"the late heartbeat arrives: {status}")

    delivery = asyncio.ensure_future(deliver())
    await asyncio.sleep(kit.ACK_SECONDS)
    status = await first.report("DELETE")
    acknowledged = record.now()
    record.write(f"endpoint i-1 says that it leaves: {status}")
    if status != 200:
        return None
    # It serves on for `drain` and some seconds more, and exits.
    await asyncio.sleep(DRAIN_SECONDS + 4.0)
    await delivery
    first.crash()
    record.write("endpoint i-1 exits")
    await asyncio.sleep(1.0)
    stop.set()
    await clients
    for task in others:
        task.cancel()
    late_runs = [run for run in first.runs if run[0] > acknowledged + DRAIN_SECONDS]
    served = {name for name, status in answers if status == 200}
    cut_off = [run[1] for run in late_runs if run[1] not in served]
    record.write(
        f"{len(answers)} sent, {len(served)} served; acknowledged at "
        f"{acknowledged:.3f}, {len(late_runs)} requests ran at i-1 later than "
        f"{DRAIN_SECONDS} s after it; cut off when it exited: {cut_off}"
    )
    if len(served) < 0.5 * len(answers):
        return None
    return not late_runs


kit.run_case(case)
