"""Small fakes for measuring the decisions: clock, backend servers, clients.

Everything runs on one paused clock that jumps from event to event, seeded, in
one thread. The decision modules are the real ones, wired as a daemon wires
them: levels at the entry, placement, gate, backend server, nested calls,
answers that carry the load. The network is a fixed delay.
"""

import collections
import heapq
import itertools
import math
import random
from typing import NamedTuple

from whinwinch import gate, levels, messages, placement, retries

NETWORK_SECONDS = 0.001
# Retries that one root request may cause.
RETRY_BUDGET = 3
BASELINE_RETRIES = 3
BASELINE_TIMEOUT = 1.0


class Loop:
    """A clock that jumps to the next event."""

    def __init__(self):
        self.now = 0.0
        self._events = []
        self._order = itertools.count()

    def call_later(self, delay, function, *arguments):
        """Run a function `delay` seconds from now."""
        event = (self.now + delay, next(self._order), function, arguments)
        heapq.heappush(self._events, event)

    def run_until(self, time):
        """Run all events up to a time."""
        while self._events and self._events[0][0] <= time:
            self.now, _, function, arguments = heapq.heappop(self._events)
            function(*arguments)
        self.now = time


class Fault(NamedTuple):
    """How one endpoint differs from its peers.

    Attributes:
        slower: Factor on its service times.
        until: Time in seconds up to which it is slower.
        failing: Whether it answers an error at once.
        lying: Factor by which it announces more slots than it has.
        joins: Time in seconds at which the endpoint joins.
    """

    slower: float = 1.0
    until: float = math.inf
    failing: bool = False
    lying: float = 1.0
    joins: float = 0.0


class Service(NamedTuple):
    """One service of the fake graph.

    Attributes:
        name: Its name.
        work: Mean seconds of its own work on one request.
        slots: Slots of each endpoint.
        endpoints: Number of endpoints.
        legs: Names of the services that it calls, all at once.
        faults: Pairs of endpoint index and fault.
    """

    name: str
    work: float = 0.005
    slots: int = 70
    endpoints: int = 4
    legs: tuple[str, ...] = ()
    faults: tuple[tuple[int, Fault], ...] = ()


class Stream(NamedTuple):
    """One stream of demand.

    Attributes:
        phases: Pairs of time in seconds and rate in requests a second from
            that time on.
        importance: Importance of its requests.
        caller: Name of the caller.
        path: Path asked for.
        call: Call of the service.
        work: Factor on the service times.
    """

    phases: tuple[tuple[float, float], ...]
    importance: messages.Importance = messages.Importance.NORMAL
    caller: str = "reader"
    path: str = "/"
    call: str = ""
    work: float = 1.0


class Plan(NamedTuple):
    """One scenario.

    Attributes:
        services: Services, the first is what callers ask for.
        streams: Streams of demand.
        seconds: Length of the demand.
        entries: Number of entry daemons.
        patience: Seconds after which a client gives up on one attempt.
        retries: Times that a client asks again.
        pause: Mean seconds that a client waits before it asks again.
        seed: Seed of all draws.
    """

    services: tuple[Service, ...]
    streams: tuple[Stream, ...]
    seconds: float
    entries: int = 4
    patience: float = 2.0
    retries: int = 3
    pause: float = 0.1
    seed: int = 1


class Wish(NamedTuple):
    """What one client wanted and received.

    Attributes:
        time: When it first asked.
        stream: Index of its stream.
        done: When it had its whole answer, infinite when never.
        began: When the attempt that was answered began.
        attempts: Attempts made.
    """

    time: float
    stream: int
    done: float
    began: float
    attempts: int


class Ledger:
    """Work done, by root request."""

    def __init__(self):
        self.work = collections.Counter()
        self.completed = set()

    def waste(self):
        """Return the share of work done for requests that did not complete."""
        total = sum(self.work.values())
        useful = sum(self.work[root] for root in self.completed)
        return 1.0 - useful / total if total else 0.0


class Backend:
    """A fake backend server: slots, a queue inside, service times."""

    def __init__(self, loop, service, fault, rng, ledger):
        self.loop = loop
        self.service = service
        self.fault = fault
        self._rng = rng
        self._ledger = ledger
        self._busy = 0
        self._queue = collections.deque()

    def submit(self, request, factor, nested, done):
        """Work on a request.

        Args:
            request: The request.
            factor: Factor on its service time.
            nested: Function that makes the nested calls, given a function that
                takes whether they all succeeded.
            done: Function that takes the HTTP status.
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
        slower = self.fault.slower if self.loop.now < self.fault.until else 1.0
        mean = self.service.work * factor * slower
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
    """The side of a daemon that calls: levels, placement, retries."""

    def __init__(self, mesh, name, zone):
        self.mesh = mesh
        self.levels = levels.LearnedLevels()
        self.ledger = retries.Ledger()
        self.placement = placement.Placement(zone, random.Random(name))
        self._random = random.Random(f"back-off {name}").random

    def call(self, request, factor, holder, reply, tries=0, tried=frozenset()):
        """Try endpoints until an answer stands; `reply` takes it."""
        now = self.mesh.loop.now
        refused = self.levels.refuse(request, now)
        if refused is not None:
            # The caller is told what its daemon knows, without a hop.
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

        def take(answer):
            self._observe(daemon, sent, answer, now)
            delay = self._decide_retry(sent, answer, holder, tries)
            if delay is None:
                reply(answer)
                return
            again = request, factor, holder, reply, tries + 1, tried | {daemon}
            self.mesh.loop.call_later(delay, self.call, *again)

        guard = self.mesh.gates[daemon]
        self.mesh.loop.call_later(NETWORK_SECONDS, guard.handle, sent, factor, take)

    def _observe(self, daemon, sent, answer, began):
        now = self.mesh.loop.now
        self.placement.observe(daemon, answer, now - began, now, sent)
        self.levels.learn(sent.service, sent.call, answer.load, now, sent)

    def _decide_retry(self, sent, answer, holder, tries):
        """Settle the budget; return the delay before a retry, or None."""
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
    """The side of a daemon that guards its backend server."""

    def __init__(self, mesh, daemon, service, backend, announced, zone):
        self.mesh = mesh
        self.service = service
        self.backend = backend
        self.gate = gate.Gate(announced)
        self.caller = Caller(mesh, daemon, zone)
        self._waiting = {}
        self._timer = math.inf

    def handle(self, request, factor, reply):
        """Take an attempt that another daemon sent."""
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
            self._call_legs(request, factor, loads, done)

        def done(status):
            self._finish(request, began, status, loads, reply)

        self.backend.submit(request, factor, nested, done)

    def _call_legs(self, request, factor, loads, done):
        legs = self.service.legs
        if not legs:
            done(True)
            return
        answers = []

        def take(answer):
            answers.append(answer)
            loads.append(answer.load)
            if len(answers) == len(legs):
                done(all(is_whole(each) for each in answers))

        for leg in legs:
            via = request.via + (request.service,)
            call = request._replace(service=leg, via=via)
            self.caller.call(call, factor, request.attempt, take)

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
        self.mesh.loop.call_later(NETWORK_SECONDS, reply, answer)

    def _refuse(self, answer, request, reply):
        now = self.mesh.loop.now
        below = self.caller.levels.below(request, now)
        load = self.gate.load(now, request)._replace(below=below)
        self.mesh.loop.call_later(NETWORK_SECONDS, reply, answer._replace(load=load))


class Mesh:
    """Daemons and backend servers under control."""

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
            announced = max(1, round(service.slots * fault.lying))
            member = messages.Endpoint(daemon, "", service.name, zone, "r", announced)
            members.append((fault.joins, member))
            self.gates[daemon] = Guard(
                self, f"{daemon}-{seed}", service, backend, announced, zone
            )
        self.endpoints[service.name] = tuple(members)

    def find_endpoints(self, service):
        """Return the endpoints of a service that have joined."""
        now = self.loop.now
        return tuple(
            member for joins, member in self.endpoints[service] if joins <= now
        )

    def next_attempt(self):
        """Return a new identifier of an attempt."""
        return str(next(self._attempts))

    def ask(self, request, factor, entry, reply):
        """Take a request of an outside caller at one entry."""
        caller = self.entries[entry % len(self.entries)]
        holder = request.attempt
        caller.ledger.open(holder, RETRY_BUDGET, request.deadline)

        def take(answer):
            caller.ledger.close(holder)
            caller.ledger.expire(self.loop.now)
            reply(answer)

        caller.call(request, factor, holder, take)


class Baseline:
    """The same graph without control: unbounded queues, 3 retries a hop."""

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

    def ask(self, request, factor, entry, reply):
        """Take a request of an outside caller."""
        self._call(
            request,
            factor,
            lambda ok: reply(make_answer(request, ok)),
            BASELINE_RETRIES,
        )

    def _choose(self, service):
        now = self.loop.now
        backends = self._backends[service]
        return self._rng.choice([b for b in backends if b.fault.joins <= now])

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
            self._call_legs(request, factor, done)

        self.loop.call_later(
            NETWORK_SECONDS,
            backend.submit,
            request,
            factor,
            nested,
            lambda status: self.loop.call_later(NETWORK_SECONDS, settle, status == 200),
        )
        self.loop.call_later(BASELINE_TIMEOUT * max(1.0, factor), settle, False)

    def _call_legs(self, request, factor, done):
        legs = self._services[request.service].legs
        if not legs:
            done(True)
            return
        results = []

        def take(ok):
            results.append(ok)
            if len(results) == len(legs):
                done(all(results))

        for leg in legs:
            self._call(request._replace(service=leg), factor, take, BASELINE_RETRIES)


class Clients:
    """Clients that ask by chance at a given rate, and retry hard."""

    def __init__(self, plan, system):
        self.wishes = []
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
            # A new phase begins before the next arrival: draw again from there.
            if ends < self._plan.seconds:
                self._loop.call_later(ends - now, self._schedule, index)
            return
        if now + pause < self._plan.seconds:
            self._loop.call_later(pause, self._arrive, index)

    def _arrive(self, index):
        self._schedule(index)
        self._ask(index, self._loop.now, 1)

    def _ask(self, index, first, attempt):
        stream = self._plan.streams[index]
        now = self._loop.now
        patience = self._plan.patience * max(1.0, stream.work / 10.0)
        root = f"{self._plan.seed}-{next(self._roots)}"
        request = messages.Request(
            attempt=root,
            root=root,
            service=self._plan.services[0].name,
            call=stream.call,
            method="GET",
            path=stream.path,
            importance=stream.importance,
            deadline=now + patience,
            caller=stream.caller,
        )
        settled = []

        def settle(ok):
            if settled:
                return
            settled.append(ok)
            self._settle(index, first, now, attempt, root, ok)

        self._loop.call_later(patience, settle, False)
        entry = self._rng.randrange(1 << 20)
        self._system.ask(
            request, stream.work, entry, lambda answer: settle(is_whole(answer))
        )

    def _settle(self, index, first, began, attempt, root, ok):
        now = self._loop.now
        if ok:
            self._system.ledger.completed.add(root)
            self.wishes.append(Wish(first, index, now, began, attempt))
        elif attempt <= self._plan.retries:
            pause = self._plan.pause * self._rng.uniform(0.5, 1.5)
            self._loop.call_later(pause, self._ask, index, first, attempt + 1)
        else:
            self.wishes.append(Wish(first, index, math.inf, began, attempt))


class Run(NamedTuple):
    """What one run gave.

    Attributes:
        plan: The scenario.
        wishes: What each client received.
        waste: Share of the work done for requests that did not complete.
    """

    plan: Plan
    wishes: tuple[Wish, ...]
    waste: float


def run_plan(plan, controlled):
    """Run a scenario, with control or as the baseline."""
    system = Mesh(plan) if controlled else Baseline(plan)
    clients = Clients(plan, system)
    tail = plan.patience * (plan.retries + 1) + 1.0
    system.loop.run_until(plan.seconds + tail)
    return Run(plan, tuple(clients.wishes), system.ledger.waste())


def find_rate(phases, now):
    """Return the rate of a stream at a time and when it ends."""
    rate, ends = 0.0, math.inf
    for start, value in phases:
        if start <= now + 1e-12:
            rate = value
        else:
            ends = start
            break
    return rate, ends


def is_whole(answer):
    """Return whether an answer is what the caller asked for."""
    return answer.outcome is messages.Outcome.COMPLETED and answer.status == 200


def make_answer(request, ok):
    """Return an answer of the baseline."""
    return messages.Answer(
        request.attempt, messages.Outcome.COMPLETED, status=200 if ok else 503
    )


def refuse(request, reason):
    """Return the answer to a request that no endpoint could take."""
    return messages.Answer(
        request.attempt, messages.Outcome.NOT_RUN, reason, status=503
    )


def refuse_decided(request, decision, deeper):
    """Return the answer that tells a decision to refuse."""
    return messages.Answer(
        request.attempt,
        messages.Outcome.NOT_RUN,
        decision.reason,
        status=503,
        retry_after=decision.retry_after,
        from_downstream=deeper,
    )
