"""A soak run: its programs, the load, the faults and the verdict."""

import pathlib
import random
import signal
import time
import typing

import treq
from twisted.internet import defer, task

from eelgrasswick.platform import names
from eelgrasswick.soak import (
    actions,
    caller,
    fabric,
    faults,
    history,
    layout,
    operator,
    peer_links,
    plot,
    pressure_checks,
    processes,
    proxy,
    scarcity,
)

# A run waits START_TIMEOUT_S, and START_TIMEOUT_PER_PROCESS_S for each process, until
# all are ready. A machine with as many cores as a laptop starts two or more processes
# per second.
START_TIMEOUT_S: typing.Final = 20.0
START_TIMEOUT_PER_PROCESS_S: typing.Final = 0.5
# A process that ended is restarted within this time, as the platform does.
MAX_RESTART_DELAY_S: typing.Final = 1.0
CALLER_TICK_S: typing.Final = 0.02
# When a tick is later than this, the machine has too few cores for the run.
MAX_TICK_GAP_S: typing.Final = 0.1
READINESS_PROBE_INTERVAL_S: typing.Final = 0.5
# After the load, pending requests reach their timeouts and late events are recorded.
SETTLE_S: typing.Final = 4.0
TARGET_SLOTS: typing.Final = 2
UNBOUNDED_QUEUE: typing.Final = 1_000_000
LONG_FLOW_SHARE: typing.Final = 0.5


class Options(typing.NamedTuple):
    """Options of a run.

    Attributes:
        seed: Seed of the faults and the load.
        duration_s: Duration of the load in seconds.
        vms: Number of entry VMs.
        targets: Number of targets.
        flows_per_s: Number of new flows per second.
        faults: Number of faults.
        kinds: Kinds from which the faults are drawn.
        plot: Output file for a chart of the run; None for no chart.
        scarce: True for too little capacity and flows of a single request.
    """

    seed: int
    duration_s: float
    vms: int
    targets: int
    flows_per_s: float
    faults: int
    kinds: tuple[str, ...]
    plot: pathlib.Path | None
    scarce: bool = False


class Verdict(typing.NamedTuple):
    """Result of a run.

    Attributes:
        seed: Seed of the run.
        flows: Number of flows that the callers began to open.
        answered: Number of requests that were answered in full.
        lost: Number of flows that timed out, while opening or during a request.
        reset: Number of open flows that were reset.
        refused: Number of flows that were reset before they were open.
        turned_away: Number of requests that full targets did not execute.
        granted: Number of flows that were placed on a reservation, as VMs logged.
        served_at_end: Share of the requests at the end that were answered.
        breaches: All violations of invariants.
    """

    seed: int
    flows: int
    answered: int
    lost: int
    reset: int
    refused: int
    turned_away: int
    granted: int
    served_at_end: float
    breaches: tuple[history.Violation, ...]

    @property
    def passed(self) -> bool:
        """True if no invariant was violated."""
        return not self.breaches

    @property
    def line(self) -> str:
        """The verdict as one line of ``key=value`` pairs."""
        counts = " ".join(f"{k}={v}" for k, v in self._asdict().items())
        counts = counts.partition(" breaches=")[0]
        word = "passed" if self.passed else "FAILED"
        return f"{word} {counts} breaches={len(self.breaches)}"


class Run:
    """Starts the programs, injects the faults and checks the recorded events."""

    def __init__(
        self, reactor: typing.Any, block: int, options: Options, folder: pathlib.Path
    ) -> None:
        """Prepare a run whose logs and events are written to a folder."""
        self._reactor = reactor
        self._options = options
        self._folder = folder
        self._layout = layout.Layout(block, options.vms, options.targets, 8)
        self._rng = random.Random(options.seed)
        self._peers = peer_links.PeerLinks(reactor, self._layout, self._rng)
        self._fabric = fabric.Fabric(reactor, layout.DATA_PORT, self._rng)
        self._events: list[history.Event] = []
        self._vms: list[processes.Process] = []
        self._targets: list[processes.Process] = []
        self._store: processes.Process | None = None
        self._store_proxies: list[proxy.Proxy] = []
        self._operator = operator.Operator(
            reactor, self._layout.store_address, self._events.append, options.scarce
        )
        self._injector = actions.FaultInjector(
            reactor,
            actions.Components(
                self._vms,
                self._targets,
                self._store_proxies,
                self._peers,
                self._fabric,
                self._operator,
            ),
            self._events.append,
            folder,
        )
        self._ports: list[typing.Any] = self._peers.ports
        self._load_start_s = 0.0
        self._ticked_s = 0.0
        self._flows = 0
        self._overloaded = False

    async def execute(self) -> Verdict:
        """Execute the run, and return its verdict.

        Raises:
            TimeoutError: The programs were not ready in time.
        """
        # A run that is stopped by a signal does not reach its end. Without this
        # trigger its processes would go on and use the addresses that the next run
        # reserves.
        trigger = self._reactor.addSystemEventTrigger(
            "before", "shutdown", self.stop_processes
        )
        try:
            await self._start()
            await self._load()
        finally:
            self._reactor.removeSystemEventTrigger(trigger)
            await self._stop()
        return self._verdict()

    async def _start(self) -> None:
        store_host, _, store_port = self._layout.store_address.rpartition(":")
        self._store = processes.start_store(self._layout.store_address, self._folder)
        for number in range(self._options.vms):
            store_proxy = proxy.Proxy(self._reactor, store_host, int(store_port))
            self._store_proxies.append(store_proxy)
            host = self._layout.store_proxy_ip(number)
            port = self._reactor.listenTCP(
                layout.STORE_PORT, store_proxy, interface=host
            )
            self._ports.append(port)
        await self._wait_until(self._operator.write_config)
        for number in range(self._options.targets):
            settings = self._target_settings(number)
            self._targets.append(processes.start_target(settings, self._folder))
        for number in range(self._options.vms):
            settings_text = self._layout.vm_settings(number, self._peers.aliases)
            self._vms.append(
                processes.start_entry_vm(
                    f"{history.VM_PREFIX}{number}",
                    settings_text,
                    self._folder,
                    actions.CLOCK_STEP in self._options.kinds,
                )
            )
        for number in range(self._layout.callers):
            self._add_caller(self._layout.caller_ip(number))
        await self._wait_until(self._all_ready)
        if history.HARMLESS_FAULTS.issuperset(self._options.kinds):
            # VMs are ready with the first target of any service, and place no flows on
            # targets that have just started.
            await self._wait_until(self._all_targets_present)
            await self._sleep(2 * layout.COLD_START_S)

    def _add_caller(self, host: str) -> None:
        new_caller = caller.Caller(
            host, self._fabric.send, self._events.append, self._fabric.loses_answer
        )
        self._fabric.callers[host] = new_caller
        port = self._reactor.listenUDP(layout.DATA_PORT, new_caller, host, 4096)
        self._ports.append(port)

    def _target_settings(self, number: int) -> dict[str, typing.Any]:
        factor = scarcity.WORK_FACTOR if self._options.scarce else 1
        return {
            "name": f"i-{number + 16:x}",
            "service": "vault" if number % 3 == 2 else "desk",
            "zone": layout.ZONES[number // 3 % len(layout.ZONES)],
            "host": self._layout.target_ip(number),
            "port": layout.TARGET_PORT,
            "caller_port": layout.DATA_PORT,
            "store": self._layout.store_address,
            "events": str(self._folder / f"target{number}.events"),
            "slots": TARGET_SLOTS,
            "queue": scarcity.QUEUE if self._options.scarce else UNBOUNDED_QUEUE,
            "work_ms": (20 if number % 2 else 35) * factor,
        }

    async def _load(self) -> None:
        self._load_start_s = self._ticked_s = time.monotonic()
        drawn = faults.draw(
            self._options.seed,
            self._options.duration_s,
            self._options.faults,
            self._options.kinds,
        )
        loops = [
            (task.LoopingCall(self._tick_callers), CALLER_TICK_S),
            (task.LoopingCall(self._probe_readiness), READINESS_PROBE_INTERVAL_S),
            (task.LoopingCall(self._restart_ended), MAX_RESTART_DELAY_S / 2),
            (task.LoopingCall(self._open_flows), 1 / self._options.flows_per_s),
        ]
        for loop, interval_s in loops:
            loop.start(interval_s)
        for item in drawn:
            self._reactor.callLater(item.at_s, self._injector.inject, item)
        await self._sleep(self._options.duration_s)
        loops[-1][0].stop()
        await self._sleep(SETTLE_S)
        for loop, _ in loops[:-1]:
            loop.stop()

    def _open_flows(self) -> None:
        if not self._options.scarce:
            self._open_flow()
            return
        elapsed_s = time.monotonic() - self._load_start_s
        duration_s = self._options.duration_s
        if elapsed_s >= scarcity.PRESSURE_START_S and not self._overloaded:
            self._overloaded = True
            left_s = duration_s - scarcity.PRESSURE_END_S - elapsed_s
            self._injector.record(history.OVERLOAD_FAULT, f"for {left_s:.2f}", "")
        hosts = sorted(self._fabric.callers)
        for _ in range(scarcity.burst(elapsed_s, duration_s)):
            self._flows += 1
            host, plan = scarcity.draw_flow(self._rng, hosts)
            self._fabric.callers[host].open_flow(plan)

    def _open_flow(self) -> None:
        self._flows += 1
        host = self._rng.choice(sorted(self._fabric.callers))
        ports = [443, 443, 444, *self._operator.added_ports[-3:]]
        port = self._rng.choice(ports)
        long = self._rng.random() < LONG_FLOW_SHARE
        plan = caller.FlowPlan(
            layout.SERVICE_IP,
            port,
            self._rng.randrange(3, 9) if long else 1,
            2000 if port != 444 else 40_000,
            self._rng.uniform(0.1, 1.0),
        )
        self._fabric.callers[host].open_flow(plan)

    def _tick_callers(self) -> None:
        now_s = time.monotonic()
        if now_s - self._ticked_s > MAX_TICK_GAP_S:
            self._injector.record(history.STARVED, "run", "")
        self._ticked_s = now_s
        for item in self._fabric.callers.values():
            item.tick(now_s)

    def _restart_ended(self) -> None:
        # A target that is restarted begins a new incarnation.
        for item in (*self._vms, *self._targets):
            if not item.alive:
                self._injector.record(history.RESTART, item.name, str(item.exit_code))
                item.start()

    def _probe_readiness(self) -> None:
        defer.ensureDeferred(self._update_rotation())

    async def _update_rotation(self) -> int:
        hosts = [self._layout.vm_ip(number) for number in range(self._options.vms)]
        answers = await defer.gatherResults([self._is_ready(host) for host in hosts])
        ready = [
            host for host, is_ready in zip(hosts, answers, strict=True) if is_ready
        ]
        # The fabric fails open: all VMs get packets if less than half are ready.
        self._fabric.rotation = ready if 2 * len(ready) >= len(hosts) else hosts
        return len(ready)

    def _is_ready(self, host: str) -> "defer.Deferred[bool]":
        url = f"http://{host}:{layout.READY_PORT}{names.READY_PATH}"
        call = treq.get(url, timeout=0.4, persistent=False)
        call.addCallback(lambda response: bool(response.code == 200))
        return typing.cast("defer.Deferred[bool]", call.addErrback(lambda _: False))

    async def _all_ready(self) -> bool:
        return await self._update_rotation() == self._options.vms

    async def _all_targets_present(self) -> bool:
        return await self._operator.count_targets() == self._options.targets

    async def _wait_until(self, done: typing.Callable[[], typing.Any]) -> None:
        processes_started = self._options.vms + self._options.targets
        deadline_s = (
            time.monotonic()
            + START_TIMEOUT_S
            + START_TIMEOUT_PER_PROCESS_S * processes_started
        )
        while not await done():
            if time.monotonic() > deadline_s:
                raise TimeoutError("the programs were not ready within the time limit")
            await self._sleep(0.2)

    def _sleep(self, duration_s: float) -> "defer.Deferred[None]":
        done: defer.Deferred[None] = defer.Deferred()
        self._reactor.callLater(duration_s, done.callback, None)
        return done

    def stop_processes(self) -> None:
        """Kill all processes of this run, also when it is interrupted."""
        started = (*self._vms, *self._targets, self._store)
        running = [item for item in started if item is not None]
        for item in running:
            item.signal(signal.SIGCONT)
            item.signal(signal.SIGKILL)
        for item in running:
            item.stop()

    async def _stop(self) -> None:
        self.stop_processes()
        for port in self._ports:
            await defer.maybeDeferred(port.stopListening)

    def _verdict(self) -> Verdict:
        events = list(self._events)
        for path in sorted(self._folder.glob("*.events")):
            events += history.read(path)
        for item in sorted(events, key=lambda event: event.at_s):
            history.write(self._folder / "events.jsonl", item)
        if self._options.plot is not None:
            plot.draw(events, self._options.plot, f"seed {self._options.seed}")
        count = {
            kind: sum(item.kind is kind for item in events) for kind in history.Kind
        }
        end_s = self._load_start_s + self._options.duration_s
        served = history.served_share(events, end_s)
        return Verdict(
            self._options.seed,
            self._flows,
            count[history.Kind.ANSWERED],
            count[history.Kind.LOST],
            count[history.Kind.RESET],
            count[history.Kind.REFUSED],
            count[history.Kind.TURNED_AWAY],
            scarcity.count_granted(self._folder),
            round(served, 3),
            tuple(
                history.check_invariants(events)
                + pressure_checks.check(events)
                + history.check_recovery(events, end_s)
            ),
        )
