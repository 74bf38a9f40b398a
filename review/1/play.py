"""Late duplicates of refusals, while the endpoints of a service refuse part of it."""

import asyncio
import collections
import pathlib
import random
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from parts import deployment, wire  # noqa: E402

SERVICES = ("royalties", "catalog", "archive", "submissions")
HOST = "press.example"
REQUESTS_PER_SECOND = 12
SECONDS = 85.0
DEADLINE = 5.0
# Within the doses of the site: of all endpoints of a service, each turns down 0.35 of
# its requests for 5 s (at most 0.55 for 8.5 s); half of them send a second, late answer
# to 0.03 of what they answer, for 5 s (at most 0.03 at 0.6 of them for 5 s).
SHED_SHARE = 0.35
EXTRA_SHARE = 0.03
TROUBLE_SECONDS = 5.0
PAUSE_SECONDS = 1.0
CONFIGURATION = {
    "version": "r7",
    "routes": {
        f"r-{service}": {
            "host": HOST,
            "path_prefix": f"/{service}/",
            "kind": "unsafe",
            "timeout": "5000ms",
            "target_latency": "1500ms",
            "priority": 0,
            "service": service,
            "max_attempts": 1,
        }
        for service in SERVICES
    },
    "services": {
        service: {"health_check_path": "/healthz", "max_connections": 586}
        for service in SERVICES
    },
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 67108864,
        "header_timeout": "3000ms",
        "idle_timeout": "15000ms",
    },
}


class Faulty(deployment.Endpoint):
    """An endpoint that refuses a share of its requests and doubles some answers."""

    def __init__(self, *args, sends_extra, seed, **kwargs):
        super().__init__(*args, **kwargs)
        self._random = random.Random(seed)
        self._sends_extra = sends_extra
        self._late = {}
        self.has_trouble = False
        self.extras = 0

    async def answer(self, request, writer):
        """Answer, behind a late duplicate of the last answer on the connection."""
        late = self._late.pop(writer, None)
        if late is not None:
            writer.write(late)
        if self.has_trouble and self._random.random() < SHED_SHARE:
            data = self.refuse(request, 503, "Service Unavailable")
        else:
            data = await super().answer(request, writer)
        is_extra = self._sends_extra and self.has_trouble
        if is_extra and self._random.random() < EXTRA_SHARE:
            self._late[writer] = data
            self.extras += 1
        return data


async def play(machines, has_trouble):
    """Send payouts at a daemon of another service; return whether none ran twice."""
    record = machines.record
    machines.store.configure(CONFIGURATION)
    faulty = [
        Faulty(
            machines,
            f"i-{service}-{number}",
            service,
            work=0.06,
            sends_extra=number == 0,
            seed=f"{service}-{number}",
        )
        for service in SERVICES
        for number in range(2)
    ]
    for endpoint in faulty:
        await machines.add(endpoint)
    await machines.wait_ready()
    await asyncio.sleep(3.0)
    trouble = asyncio.create_task(make_trouble(faulty, record, has_trouble))
    answers, tasks = {}, []
    for number in range(int(SECONDS * REQUESTS_PER_SECOND)):
        for index, service in enumerate(SERVICES):
            # Requests begin beside endpoints of other services.
            entry = machines.machines[(2 * index + 2 + number % 6) % 8].daemon
            work = send(entry, f"{service}-{number}", service, answers, record)
            tasks.append(asyncio.create_task(work))
        await asyncio.sleep(1.0 / REQUESTS_PER_SECOND)
    await asyncio.gather(*tasks)
    trouble.cancel()
    runs = collections.Counter(run.request for run in machines.runs)
    twice = sorted(request for request, count in runs.items() if count > 1)
    refused = sorted(r for r, status in answers.items() if status == 503 and runs[r])
    record.write("twice", count=len(twice), requests=",".join(twice))
    record.write("refused-and-run", count=len(refused), requests=",".join(refused))
    statuses = collections.Counter(answers.values())
    extras = sum(endpoint.extras for endpoint in faulty)
    record.write("answers", statuses=dict(statuses), extras=extras)
    print(f"answers {dict(statuses)}, late duplicates {extras}")
    print(f"run twice: {len(twice)}; answered 503 and run: {len(refused)}")
    return not twice and not refused


async def make_trouble(faulty, record, has_trouble):
    """Begin and end the disruptions again and again."""
    while has_trouble:
        for endpoint in faulty:
            endpoint.has_trouble = True
        record.write("trouble", what="refusals and late duplicates")
        await asyncio.sleep(TROUBLE_SECONDS)
        for endpoint in faulty:
            endpoint.has_trouble = False
        record.write("trouble", what="none")
        await asyncio.sleep(PAUSE_SECONDS)


async def send(daemon, identifier, service, answers, record):
    """Send one unsafe request and record the status of its answer, 0 for none."""
    headers = (
        ("Host", HOST),
        ("X-Request-Id", identifier),
        ("X-Deadline-Ms", str(int(DEADLINE * 1000))),
    )
    data = wire.build_request("POST", f"/{service}/1", headers, b"amount=1")
    record.write("send", request=identifier)
    try:
        response = await deployment.ask(daemon.outbound, data, DEADLINE)
        status = response.status
    except (OSError, EOFError, TimeoutError):
        status = 0
    answers[identifier] = status
    record.write("answer", request=identifier, status=status)


if __name__ == "__main__":
    deployment.run_case(play, FOLDER)
