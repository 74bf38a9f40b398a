"""After a loss of power beside an outage of the store, no endpoint serves any more."""

import asyncio
import itertools
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "parts-2"))
import kit

SERVICES = ("pay", "shop", "shop")
# Share of the requests that go to the service "pay".
PAY_SHARE = 0.8
RATE = 40.0
DOWN_SECONDS = 1.3
REFUSAL_SECONDS = 9.0
RECOVERY_SECONDS = 15.0
MEASURED_SECONDS = 8.0


async def case(record, folder, daemons, trouble):
    """Play the case; return whether the rule held, None if it couldn't run."""
    store = kit.Store(record)
    store_port = await store.listen()
    door = kit.StoreDoor(store)
    first_port = await door.listen()
    routes = {
        "r-pay": kit.build_route("/pay/", "pay", "unsafe"),
        "r-shop": kit.build_route("/shop/", "shop", "safe"),
    }
    store.put("keyed.op", "config", kit.build_configuration(7, routes))
    endpoints = []
    for number, service in enumerate(SERVICES, 1):
        port = first_port if number == 1 else store_port
        daemon = kit.Daemon(record, folder, f"sidecar-{number}", service, port)
        daemons.append(daemon)
        await daemon.start()
        endpoint = kit.Endpoint(record, f"i-{number}", service)
        endpoint.control = daemon.control
        await endpoint.start(daemon.app)
        endpoints.append(endpoint)
    beats = [asyncio.ensure_future(each.keep_reporting()) for each in endpoints]

    async def all_ready():
        return all([await each.is_ready() for each in daemons])

    if not await kit.wait_until(all_ready, 15):
        return None
    await asyncio.sleep(2.0)
    answers, stop = [], asyncio.Event()

    async def send(number):
        name, began = f"req-{number}", record.now()
        is_payout = number % 10 < 10 * PAY_SHARE
        headers = (("X-Request-Id", name), ("X-Deadline-Ms", "5000"))
        method, path = ("POST", "/pay/1") if is_payout else ("GET", "/shop/1")
        body = b"amount=10" if is_payout else b""
        port = daemons[number % len(daemons)].outbound
        try:
            status, _, _ = await kit.send_http(port, method, path, headers, body, 6.0)
        except (OSError, TimeoutError):
            status = 0
        answers.append((began, status))
        record.write(f"client {name} {method} {path} gets {status}")

    async def press():
        tasks = []
        for number in itertools.count():
            if stop.is_set():
                break
            tasks.append(asyncio.ensure_future(send(number)))
            await asyncio.sleep(1.0 / RATE)
        await asyncio.gather(*tasks)

    def find_share(first, last):
        statuses = [status for began, status in answers if first <= began < last]
        return sum(status == 200 for status in statuses) / max(1, len(statuses))

    clients = asyncio.ensure_future(press())
    began = record.now()
    await asyncio.sleep(4.0)
    # Planned: the endpoint of "pay" says that it leaves, and is acknowledged.
    endpoints[0].state = "draining"
    if await endpoints[0].report() != 200:
        return None
    before = find_share(began, record.now())
    # The final fault, right after the acknowledgement: all machines lose power.
    await asyncio.sleep(0.1)
    record.write("all machines lose power")
    for endpoint in endpoints:
        endpoint.crash()
    for daemon in daemons:
        await daemon.end()
    if trouble:
        record.write("the store turns machine 1 away")
        door.is_refusing = True
    fault = record.now()
    await asyncio.sleep(DOWN_SECONDS)
    for daemon, endpoint in zip(daemons, endpoints, strict=True):
        await daemon.start()
        await endpoint.restart()
    back = record.now()
    record.write("all machines are back, each endpoint under its identifier")
    await asyncio.sleep(max(0.0, fault + REFUSAL_SECONDS - record.now()))
    door.is_refusing = False
    record.write("the store serves machine 1 again")
    measured = max(back, record.now()) + RECOVERY_SECONDS
    await asyncio.sleep(measured + MEASURED_SECONDS - record.now())
    stop.set()
    await clients
    after = find_share(measured, measured + MEASURED_SECONDS)
    for beat in beats:
        beat.cancel()
    record.write(
        f"served before the fault {before:.3f}; later than {RECOVERY_SECONDS} s after "
        f"the machines and the store were back {after:.3f}; answers then: "
        f"{sorted({status for began, status in answers if began >= measured})}"
    )
    if before < 0.5:
        return None
    return after >= 0.25


kit.run_case(case)
