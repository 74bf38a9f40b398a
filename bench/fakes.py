"""A discrete-event simulation of daemons, backend servers and clients.

The simulation is seeded and runs in one thread on a virtual clock. It uses the
real decision modules and connects them as a daemon does: admission levels at the
entry daemon, placement, gate, backend server, nested calls, and answers that
carry the load. The network is modelled as a fixed delay.
"""

import collections
import heapq
import itertools
import math
import random
from typing import NamedTuple

from whinwinch import gate, levels, messages, placement, retries

NETWORK_DELAY_SECONDS = 0.001
# Maximum retries per root request.
RETRY_BUDGET = 3
BASELINE_RETRIES = 3
BASELINE_TIMEOUT_SECONDS = 1.0


class Loop:
    """Event queue with a virtual clock that advances to the next event."""

    def __init__(self):
        self.now = 0.0
        self._events = []
        self._order = itertools.count()

    def call_later(self, delay, function, *arguments):
        """Schedule a function to run after `delay` seconds."""
        event = (self.now + delay, next(self._order), function, arguments)
        heapq.heappush(self._events, event)

    def run_until(self, time):
        """Run all events up to a time and set the clock to it."""
        while self._events and self._events[0][0] <= time:
            self.now, _, function, arguments = heapq.heappop(self._events)
            function(*arguments)
        self.now = time


class Fault(NamedTuple):
    """Faulty behaviour of one endpoint.

    Attributes:
        slowdown: Factor on its service times.
        until: Time in seconds at which the slowdown ends.
        failing: Whether it immediately answers each request with an error.
        slot_factor: Ratio of the slots that it announces to those that it has.
        join_time: Time in seconds at which the endpoint joins.
    """

    slowdown: float = 1.0
    until: float = math.inf
    failing: bool = False
    slot_factor: float = 1.0
    join_time: float = 0.0


class Service(NamedTuple):
    """Service of the simulated call graph.

    Attributes:
        name: Name of the service.
        work: Mean service time of one request in seconds, without nested calls.
        slots: Number of slots of each endpoint.
        endpoints: Number of endpoints.
        downstream: Names of the services that it calls concurrently per request.
        faults: Pairs of an endpoint index and its fault.
    """

    name: str
    work: float = 0.005
    slots: int = 70
    endpoints: int = 4
    downstream: tuple[str, ...] = ()
    faults: tuple[tuple[int, Fault], ...] = ()


class Stream(NamedTuple):
    """Stream of similar requests.

    Attributes:
        phases: Pairs of a start time in seconds and the arrival rate in requests
            per second from that time on.
        importance: Importance of the requests.
        caller: Name of the calling service.
        path: Path of the requests.
        call: Name of the call.
        work: Factor on the service times.
    """

    phases: tuple[tuple[float, float], ...]
    importance: messages.Importance = messages.Importance.NORMAL
    caller: str = "reader"
    path: str = "/"
    call: str = ""
    work: float = 1.0


class Plan(NamedTuple):
    """Configuration of one simulated scenario.

    Attributes:
        services: Services; clients call the first one.
        streams: Streams of requests from clients.
        seconds: Duration of the demand.
        entries: Number of entry daemons.
        client_timeout: Timeout of one client attempt in seconds.
        retries: Maximum number of retries by a client.
        mean_backoff: Mean backoff of a client before a retry, in seconds.
        seed: Seed of all random generators.
    """

    services: tuple[Service, ...]
    streams: tuple[Stream, ...]
    seconds: float
    entries: int = 4
    client_timeout: float = 2.0
    retries: int = 3
    mean_backoff: float = 0.1
    seed: int = 1


class ClientRequest(NamedTuple):
    """Request of one client, over all its attempts. Times are in seconds.

    Attributes:
        time: Time of the first attempt.
        stream: Index of the stream.
        done: Time of the successful answer, infinite if there was none.
        began: Start of the last attempt.
        attempts: Number of attempts.
    """

    time: float
    stream: int
    done: float
    began: float
    attempts: int


class Ledger:
    """Record of the service time spent on each root request."""

    def __init__(self):
        self.work = collections.Counter()
        self.completed = set()

    def waste(self):
        """Return the share of service time spent on requests that did not complete."""
        total = sum(self.work.values())
        useful = sum(self.work[root] for root in self.completed)
        return 1.0 - useful / total if total else 0.0


class Backend:
    """Simulated backend server with slots and an unbounded queue."""

    def __init__(self, loop, service, fault, rng, ledger):
        self.loop = loop
        self.service = service
        self.fault = fault
        self._rng = rng
        self._ledger = ledger
        self._busy = 0
        self._queue = collections.deque()

    def submit(self, request, factor, nested, done):
        """Queue a request and process it once a slot is free.

        Args:
            request: The request.
            factor: Factor on its service time.
            nested: Function that makes the nested calls; its argument is a function
                to call with whether all of them succeeded.
            done: Function to call with the HTTP status.
        """
        self._queue.append((request, factor, nested, done))
        self._start()

    def _start(self):
        while self._queue and self._busy < self.service.slots:
            self._busy += 1
            job = self._queue.popleft()
            if self.fault.failing:
                self.loop.call_later(0.0005, self._end, job[3], 500)
                continue
            seconds = self._draw(job[1])
            self.loop.call_later(seconds, self._worked, job, seconds)

    def _draw(self, factor):
        slowdown = self.fault.slowdown if self.loop.now < self.fault.until else 1.0
        mean = self.service.work * factor * slowdown
        return self._rng.gammavariate(4.0, mean / 4.0)

    def _worked(self, job, seconds):
        request, _, nested, done = job
        self._ledger.work[request.root] += seconds
        nested(lambda ok: self._end(done, 200 if ok else 503))

    def _end(self, done, status):
        self._busy -= 1
        done(status)
        self._start()


class Caller:
    """Outbound side of a daemon: admission levels, placement, retries."""

    def __init__(self, mesh, name, zone):
        self.mesh = mesh
        self.levels = levels.LearnedLevels()
        self.ledger = retries.Ledger()
        self.placement = placement.Placement(zone, random.Random(name))
        self._random = random.Random(f"back-off {name}").random

    def call(self, request, factor, holder, reply, tries=0, tried=frozenset()):
        """Make attempts until one has a final answer, and pass it to `reply`."""
        now = self.mesh.loop.now
        refused = self.levels.refuse(request, now)
        if refused is not None:
            # The answer comes from the local daemon, so there is no network delay.
            load = messages.Load(
                below=self.levels.level(request.service, request.call, now, request)
            )
            reply(refuse_decided(request, refused, False)._replace(load=load))
            return
        endpoints = self.mesh.find_endpoints(request.service)
        choice = self.placement.choose(request, endpoints, now, tried)
        if choice.endpoint is None:
            reply(refuse(request, messages.Reason.NO_ENDPOINT))
            return
        daemon = choice.endpoint.daemon
        attempt = self.mesh.next_attempt()
        granted = self.ledger.grant(holder, attempt)
        sent = request._replace(attempt=attempt, budget=granted)
        self.placement.start(daemon, now, sent)

        def handle_answer(answer):
            self._observe(daemon, sent, answer, now)
            delay = self._decide_retry(sent, answer, holder, tries)
            if delay is None:
                reply(answer)
                return
            again = request, factor, holder, reply, tries + 1, tried | {daemon}
            self.mesh.loop.call_later(delay, self.call, *again)

        guard = self.mesh.gates[daemon]
        self.mesh.loop.call_later(
            NETWORK_DELAY_SECONDS, guard.handle, sent, factor, handle_answer
        )

    def _observe(self, daemon, sent, answer, began):
        now = self.mesh.loop.now
        self.placement.observe(daemon, answer, now - began, now, sent)
        self.levels.learn(sent.service, sent.call, answer.load, now, sent)

    def _decide_retry(self, sent, answer, holder, tries):
        """Return the delay before a retry, or None for no retry.

        Returns the unused retry budget of the attempt and spends one unit for a retry.
        """
        self.ledger.return_unused(sent.attempt, answer.unused_retries)
        remaining = self.ledger.get_remaining(holder)
        now = self.mesh.loop.now
        decision = retries.decide_retry(
            sent, answer, remaining, tries, now, self._random
        )
        if decision.again and self.ledger.try_spend(holder):
            return decision.delay
        return None


class Guard:
    """Inbound side of a daemon: admission to its backend server."""

    def __init__(self, mesh, daemon, service, backend, announced, zone):
        self.mesh = mesh
        self.service = service
        self.backend = backend
        self.gate = gate.Gate(announced)
        self.caller = Caller(mesh, daemon, zone)
        self._waiting = {}
        self._timer = math.inf

    def handle(self, request, factor, reply):
        """Admit, queue or refuse an attempt from another daemon."""
        now = self.mesh.loop.now
        refused = self.caller.levels.refuse_below(request, now)
        if refused is not None:
            self._refuse(refuse_decided(request, refused, True), request, reply)
            return
        self._waiting[request.attempt] = (request, factor, reply)
        self._apply(self.gate.offer(request, now))
        self._check_expiry()

    def _apply(self, decision):
        if decision.verdict is gate.Verdict.WAIT:
            return
        request, factor, reply = self._waiting.pop(decision.attempt)
        if decision.verdict is gate.Verdict.ADMIT:
            self._run(request, factor, reply)
        else:
            self._refuse(refuse_decided(request, decision, False), request, reply)

    def _check_expiry(self):
        expiry = self.gate.next_expiry()
        if expiry is None:
            return
        now = self.mesh.loop.now
        if expiry <= now:
            for decision in self.gate.expire(now):
                self._apply(decision)
        elif expiry < self._timer:
            self._timer = expiry
            self.mesh.loop.call_later(expiry - now, self._wake)

    def _wake(self):
        self._timer = math.inf
        self._check_expiry()

    def _run(self, request, factor, reply):
        began = self.mesh.loop.now
        loads = []
        self.caller.ledger.open(request.attempt, request.budget, request.deadline)

        def nested(done):
            self._call_downstream(request, factor, loads, done)

        def done(status):
            self._finish(request, began, status, loads, reply)

        self.backend.submit(request, factor, nested, done)

    def _call_downstream(self, request, factor, loads, done):
        downstream = self.service.downstream
        if not downstream:
            done(True)
            return
        answers = []

        def handle_answer(answer):
            answers.append(answer)
            loads.append(answer.load)
            if len(answers) == len(downstream):
                done(all(is_success(each) for each in answers))

        for callee in downstream:
            via = request.via + (request.service,)
            call = request._replace(service=callee, via=via)
            self.caller.call(call, factor, request.attempt, handle_answer)

    def _finish(self, request, began, status, loads, reply):
        now = self.mesh.loop.now
        below = max((max(load.level, load.below) for load in loads), default=0.0)
        if loads:
            self.caller.levels.learn_below(request, below, now)
        released = self.gate.finish(request.attempt, now, now - began, status == 200)
        for decision in released:
            self._apply(decision)
        self._check_expiry()
        answer = messages.Answer(
            request.attempt,
            messages.Outcome.COMPLETED,
            status=status,
            unused_retries=self.caller.ledger.close(request.attempt),
            from_downstream=status == 503,
            load=self.gate.load(now, request)._replace(below=below),
        )
        self.mesh.loop.call_later(NETWORK_DELAY_SECONDS, reply, answer)

    def _refuse(self, answer, request, reply):
        now = self.mesh.loop.now
        below = self.caller.levels.below(request, now)
        load = self.gate.load(now, request)._replace(below=below)
        self.mesh.loop.call_later(
            NETWORK_DELAY_SECONDS, reply, answer._replace(load=load)
        )


class Mesh:
    """Backend servers with a daemon beside each of them."""

    def __init__(self, plan):
        self.loop = Loop()
        self.ledger = Ledger()
        self.endpoints = {}
        self.gates = {}
        self._attempts = itertools.count()
        for service in plan.services:
            self._add_service(service, plan.seed)
        zones = [f"z{index % 4}" for index in range(plan.entries)]
        self.entries = [
            Caller(self, f"entry{index}-{plan.seed}", zone)
            for index, zone in enumerate(zones)
        ]

    def _add_service(self, service, seed):
        faults = dict(service.faults)
        members = []
        for index in range(service.endpoints):
            fault = faults.get(index, Fault())
            daemon = f"{service.name}-{index}"
            zone = f"z{index % 4}"
            rng = random.Random(f"{seed} {daemon}")
            backend = Backend(self.loop, service, fault, rng, self.ledger)
            announced = max(1, round(service.slots * fault.slot_factor))
            member = messages.Endpoint(daemon, "", service.name, zone, "r", announced)
            members.append((fault.join_time, member))
            self.gates[daemon] = Guard(
                self, f"{daemon}-{seed}", service, backend, announced, zone
            )
        self.endpoints[service.name] = tuple(members)

    def find_endpoints(self, service):
        """Return the endpoints of a service that have joined."""
        now = self.loop.now
        return tuple(
            member for join_time, member in self.endpoints[service] if join_time <= now
        )

    def next_attempt(self):
        """Return a new attempt identifier."""
        return str(next(self._attempts))

    def submit(self, request, factor, entry, reply):
        """Handle a root request at one entry daemon."""
        caller = self.entries[entry % len(self.entries)]
        holder = request.attempt
        caller.ledger.open(holder, RETRY_BUDGET, request.deadline)

        def handle_answer(answer):
            caller.ledger.close(holder)
            caller.ledger.expire(self.loop.now)
            reply(answer)

        caller.call(request, factor, holder, handle_answer)


class Baseline:
    """The same call graph without overload control.

    Queues are unbounded, and each caller makes up to `BASELINE_RETRIES` retries.
    """

    def __init__(self, plan):
        self.loop = Loop()
        self.ledger = Ledger()
        self._rng = random.Random(plan.seed)
        self._services = {service.name: service for service in plan.services}
        self._backends = {}
        for service in plan.services:
            faults = dict(service.faults)
            self._backends[service.name] = [
                Backend(
                    self.loop,
                    service,
                    faults.get(index, Fault()),
                    random.Random(f"{plan.seed} {service.name}-{index}"),
                    self.ledger,
                )
                for index in range(service.endpoints)
            ]

    def submit(self, request, factor, entry, reply):
        """Handle a root request."""
        self._call(
            request,
            factor,
            lambda ok: reply(build_baseline_answer(request, ok)),
            BASELINE_RETRIES,
        )

    def _choose(self, service):
        now = self.loop.now
        backends = self._backends[service]
        return self._rng.choice([b for b in backends if b.fault.join_time <= now])

    def _call(self, request, factor, reply, retries):
        settled = []

        def settle(ok):
            if settled:
                return
            settled.append(ok)
            if ok or retries == 0:
                reply(ok)
            else:
                self._call(request, factor, reply, retries - 1)

        backend = self._choose(request.service)

        def nested(done):
            self._call_downstream(request, factor, done)

        self.loop.call_later(
            NETWORK_DELAY_SECONDS,
            backend.submit,
            request,
            factor,
            nested,
            lambda status: self.loop.call_later(
                NETWORK_DELAY_SECONDS, settle, status == 200
            ),
        )
        self.loop.call_later(BASELINE_TIMEOUT_SECONDS * max(1.0, factor), settle, False)

    def _call_downstream(self, request, factor, done):
        downstream = self._services[request.service].downstream
        if not downstream:
            done(True)
            return
        results = []

        def handle_answer(ok):
            results.append(ok)
            if len(results) == len(downstream):
                done(all(results))

        for callee in downstream:
            self._call(
                request._replace(service=callee),
                factor,
                handle_answer,
                BASELINE_RETRIES,
            )


class Clients:
    """Clients with Poisson arrivals that retry every failed request."""

    def __init__(self, plan, system):
        self.client_requests = []
        self._plan = plan
        self._system = system
        self._loop = system.loop
        self._rng = random.Random(f"{plan.seed} clients")
        self._roots = itertools.count()
        for index in range(len(plan.streams)):
            self._schedule(index)

    def _schedule(self, index):
        now = self._loop.now
        stream = self._plan.streams[index]
        rate, ends = find_rate(stream.phases, now)
        pause = self._rng.expovariate(rate) if rate > 0.0 else math.inf
        if now + pause > ends:
            # The rate changes before the next arrival: draw again when it does.
            if ends < self._plan.seconds:
                self._loop.call_later(ends - now, self._schedule, index)
            return
        if now + pause < self._plan.seconds:
            self._loop.call_later(pause, self._arrive, index)

    def _arrive(self, index):
        self._schedule(index)
        self._attempt(index, self._loop.now, 1)

    def _attempt(self, index, first, attempt):
        stream = self._plan.streams[index]
        now = self._loop.now
        client_timeout = self._plan.client_timeout * max(1.0, stream.work / 10.0)
        root = f"{self._plan.seed}-{next(self._roots)}"
        request = messages.Request(
            attempt=root,
            root=root,
            service=self._plan.services[0].name,
            call=stream.call,
            method="GET",
            path=stream.path,
            importance=stream.importance,
            deadline=now + client_timeout,
            caller=stream.caller,
        )
        settled = []

        def settle(ok):
            if settled:
                return
            settled.append(ok)
            self._settle(index, first, now, attempt, root, ok)

        self._loop.call_later(client_timeout, settle, False)
        entry = self._rng.randrange(1 << 20)
        self._system.submit(
            request, stream.work, entry, lambda answer: settle(is_success(answer))
        )

    def _settle(self, index, first, began, attempt, root, ok):
        now = self._loop.now
        if ok:
            self._system.ledger.completed.add(root)
            self.client_requests.append(
                ClientRequest(first, index, now, began, attempt)
            )
        elif attempt <= self._plan.retries:
            pause = self._plan.mean_backoff * self._rng.uniform(0.5, 1.5)
            self._loop.call_later(pause, self._attempt, index, first, attempt + 1)
        else:
            self.client_requests.append(
                ClientRequest(first, index, math.inf, began, attempt)
            )


class Run(NamedTuple):
    """Result of one run.

    Attributes:
        plan: The scenario.
        client_requests: Outcome of each client request.
        waste: Share of service time spent on requests that did not complete.
    """

    plan: Plan
    client_requests: tuple[ClientRequest, ...]
    waste: float


def run_plan(plan, controlled):
    """Simulate a scenario with overload control or, if not, as the baseline."""
    system = Mesh(plan) if controlled else Baseline(plan)
    clients = Clients(plan, system)
    tail = plan.client_timeout * (plan.retries + 1) + 1.0
    system.loop.run_until(plan.seconds + tail)
    return Run(plan, tuple(clients.client_requests), system.ledger.waste())


def find_rate(phases, now):
    """Return the arrival rate at a time and the time at which it next changes."""
    rate, ends = 0.0, math.inf
    for start, value in phases:
        if start <= now + 1e-12:
            rate = value
        else:
            ends = start
            break
    return rate, ends


def is_success(answer):
    """Return whether a request completed with HTTP status 200."""
    return answer.outcome is messages.Outcome.COMPLETED and answer.status == 200


def build_baseline_answer(request, ok):
    """Return the answer of a baseline backend server."""
    return messages.Answer(
        request.attempt, messages.Outcome.COMPLETED, status=200 if ok else 503
    )


def refuse(request, reason):
    """Return a refusal for a request that was not sent to an endpoint."""
    return messages.Answer(
        request.attempt, messages.Outcome.NOT_RUN, reason, status=503
    )


def refuse_decided(request, decision, deeper):
    """Return the answer that reports a decision to refuse."""
    return messages.Answer(
        request.attempt,
        messages.Outcome.NOT_RUN,
        decision.reason,
        status=503,
        retry_after=decision.retry_after,
        from_downstream=deeper,
    )
