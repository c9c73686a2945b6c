"""One soak run: the programs, their load, the faults and the verdict."""

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
    processes,
    proxy,
)

# A machine with as many cores as a laptop starts two processes a second or more.
START_S: typing.Final = 20.0
START_EACH_S: typing.Final = 0.5
# A killed process is started again after this, as the platform does.
RESTART_S: typing.Final = 1.0
TICK_S: typing.Final = 0.02
PROBE_S: typing.Final = 0.5
# After the load: callers' time limits run out, and what came late is seen.
SETTLE_S: typing.Final = 4.0
TARGET_SLOTS: typing.Final = 2
LONG: typing.Final = 0.5


class Options(typing.NamedTuple):
    """What a run is like.

    Attributes:
        seed: Decides all faults and the load.
        duration_s: Length of the load.
        vms: Number of entry VMs.
        targets: Number of targets.
        flows_per_s: New flows each second.
        faults: Number of faults.
        kinds: What the faults are drawn from.
        plot: Where a picture of the run goes; None for none.
    """

    seed: int
    duration_s: float
    vms: int
    targets: int
    flows_per_s: float
    faults: int
    kinds: tuple[str, ...]
    plot: pathlib.Path | None


class Verdict(typing.NamedTuple):
    """What a run came to."""

    seed: int
    flows: int
    answered: int
    lost: int
    reset: int
    refused: int
    served_at_end: float
    breaches: tuple[history.Violation, ...]

    @property
    def passed(self) -> bool:
        """True when every promise was kept."""
        return not self.breaches

    @property
    def line(self) -> str:
        """The verdict as one line."""
        counts = " ".join(f"{k}={v}" for k, v in self._asdict().items())
        counts = counts.partition(" breaches=")[0]
        word = "passed" if self.passed else "FAILED"
        return f"{word} {counts} breaches={len(self.breaches)}"


class Run:
    """Starts everything, carries the faults out and checks what was seen."""

    def __init__(
        self, reactor: typing.Any, block: int, options: Options, folder: pathlib.Path
    ) -> None:
        """Prepare a run whose logs and events go to a folder."""
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
        self._proxies: list[proxy.Proxy] = []
        self._operator = operator.Operator(
            reactor, self._layout.store_address, self._events.append
        )
        self._actions = actions.Actions(
            reactor,
            actions.Parts(
                self._vms,
                self._targets,
                self._proxies,
                self._peers,
                self._fabric,
                self._operator,
            ),
            self._events.append,
        )
        self._ports: list[typing.Any] = self._peers.ports
        self._begun_s = 0.0
        self._flows = 0

    async def play(self) -> Verdict:
        """Play the run to its end."""
        # A run that is stopped by a signal never gets to its end; left alone, its
        # processes would keep the addresses that the next run reserves.
        stopped = self._reactor.addSystemEventTrigger(
            "before", "shutdown", self.end_processes
        )
        try:
            await self._start()
            await self._load()
        finally:
            self._reactor.removeSystemEventTrigger(stopped)
            await self._end()
        return self._verdict()

    async def _start(self) -> None:
        store_host, _, store_port = self._layout.store_address.rpartition(":")
        self._store = processes.store(self._layout.store_address, self._folder)
        for number in range(self._options.vms):
            made = proxy.Proxy(self._reactor, store_host, int(store_port))
            self._proxies.append(made)
            host = self._layout.store_proxy_ip(number)
            port = self._reactor.listenTCP(layout.STORE_PORT, made, interface=host)
            self._ports.append(port)
        await self._until(self._operator.configure)
        for number in range(self._options.targets):
            settings = self._target_settings(number)
            self._targets.append(processes.target(settings, self._folder))
        for number in range(self._options.vms):
            ini = self._layout.vm_settings(number, self._peers.aliases)
            self._vms.append(processes.entry_vm(f"vm{number}", ini, self._folder))
        for number in range(self._layout.callers):
            self._add_caller(self._layout.caller_ip(number))
        await self._until(self._all_ready)

    def _add_caller(self, host: str) -> None:
        made = caller.Caller(host, self._fabric.send, self._events.append)
        self._fabric.callers[host] = made
        port = self._reactor.listenUDP(layout.DATA_PORT, made, host, 4096)
        self._ports.append(port)

    def _target_settings(self, number: int) -> dict[str, typing.Any]:
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
            "work_ms": 20 if number % 2 else 35,
        }

    async def _load(self) -> None:
        self._begun_s = time.monotonic()
        drawn = faults.draw(
            self._options.seed,
            self._options.duration_s,
            self._options.faults,
            self._options.kinds,
        )
        loops = [
            (task.LoopingCall(self._tick), TICK_S),
            (task.LoopingCall(self._probe), PROBE_S),
            (task.LoopingCall(self._restart), RESTART_S / 2),
            (task.LoopingCall(self._open), 1 / self._options.flows_per_s),
        ]
        for loop, every_s in loops:
            loop.start(every_s)
        for item in drawn:
            self._reactor.callLater(item.at_s, self._actions.carry_out, item)
        await self._sleep(self._options.duration_s)
        loops[-1][0].stop()
        await self._sleep(SETTLE_S)
        for loop, _ in loops[:-1]:
            loop.stop()

    def _open(self) -> None:
        self._flows += 1
        host = self._rng.choice(sorted(self._fabric.callers))
        ports = [443, 443, 444, *self._operator.added[-3:]]
        port = self._rng.choice(ports)
        long = self._rng.random() < LONG
        plan = caller.Plan(
            layout.SERVICE_IP,
            port,
            self._rng.randrange(3, 9) if long else 1,
            2000 if port != 444 else 40_000,
            self._rng.uniform(0.1, 1.0),
        )
        self._fabric.callers[host].begin(plan)

    def _tick(self) -> None:
        now_s = time.monotonic()
        for item in self._fabric.callers.values():
            item.tick(now_s)

    def _restart(self) -> None:
        # What ended is started again; a target begins a new incarnation.
        for item in (*self._vms, *self._targets):
            if not item.alive:
                self._actions.note("restart", item.name, str(item.exit_code))
                item.start()

    def _probe(self) -> None:
        defer.ensureDeferred(self._look_who_is_ready())

    async def _look_who_is_ready(self) -> int:
        hosts = [self._layout.vm_ip(number) for number in range(self._options.vms)]
        answers = await defer.gatherResults([self._ready(host) for host in hosts])
        ready = [host for host, yes in zip(hosts, answers, strict=True) if yes]
        self._fabric.rotation = ready if 2 * len(ready) >= len(hosts) else hosts
        return len(ready)

    def _ready(self, host: str) -> "defer.Deferred[bool]":
        url = f"http://{host}:{layout.READY_PORT}{names.READY_PATH}"
        call = treq.get(url, timeout=0.4, persistent=False)
        call.addCallback(lambda response: bool(response.code == 200))
        return typing.cast("defer.Deferred[bool]", call.addErrback(lambda _: False))

    async def _all_ready(self) -> bool:
        return await self._look_who_is_ready() == self._options.vms

    async def _until(self, done: typing.Callable[[], typing.Any]) -> None:
        processes_started = self._options.vms + self._options.targets
        limit_s = time.monotonic() + START_S + START_EACH_S * processes_started
        while not await done():
            if time.monotonic() > limit_s:
                raise TimeoutError("the programs do not start")
            await self._sleep(0.2)

    def _sleep(self, duration_s: float) -> "defer.Deferred[None]":
        done: defer.Deferred[None] = defer.Deferred()
        self._reactor.callLater(duration_s, done.callback, None)
        return done

    def end_processes(self) -> None:
        """End what this run has started, also when it is stopped midway."""
        known = (*self._vms, *self._targets, self._store)
        running = [item for item in known if item is not None]
        for item in running:
            item.signal(signal.SIGCONT)
            item.signal(signal.SIGKILL)
        for item in running:
            item.end()

    async def _end(self) -> None:
        self.end_processes()
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
        end_s = self._begun_s + self._options.duration_s
        served = history.served_share(events, end_s)
        return Verdict(
            self._options.seed,
            self._flows,
            count[history.Kind.ANSWERED],
            count[history.Kind.LOST],
            count[history.Kind.RESET],
            count[history.Kind.REFUSED],
            round(served, 3),
            tuple(
                history.check_invariants(events) + history.check_recovery(events, end_s)
            ),
        )
