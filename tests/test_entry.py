"""An entry VM on real sockets."""

import socket
import time
import typing

import pytest

from eelgrasswick.cookie import (
    carrying,
    clock,
    observations,
    probing,
    settings,
    source,
    stall,
    steering,
)
from tests import cookie_parts, entry_parts, turning

Start = typing.Callable[..., entry_parts.RunningVm]


@pytest.fixture
def start() -> typing.Iterator[Start]:
    running = []

    def begin(
        host: str,
        store: entry_parts.MemoryStore,
        *seeds: str,
        waiting: socket.socket | None = None,
        waited_ms: int = 0,
    ) -> entry_parts.RunningVm:
        running.append(entry_parts.RunningVm(host, store, seeds, waiting, waited_ms))
        return running[-1]

    yield begin
    for item in running:
        item.end()


@pytest.fixture
def server() -> typing.Iterator[socket.socket]:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as made:
        made.bind((entry_parts.host(9), 0))
        made.setblocking(False)
        yield made


@pytest.fixture
def store(server: socket.socket) -> entry_parts.MemoryStore:
    host, port = server.getsockname()
    address = f"{host}:{port}"
    return entry_parts.MemoryStore(
        cookie_parts.config_row(1),
        cookie_parts.target_row("i-0a", 2, address=address),
    )


def _await_ready(vm: entry_parts.RunningVm) -> None:
    turning.until(vm.ready, "readiness")


def _await_datagram(taken: socket.socket) -> bytes:
    got: list[bytes] = []

    def received() -> bool:
        try:
            got.append(taken.recv(2000))
        except BlockingIOError:
            return False
        return True

    turning.until(received, "a datagram")
    return got[0]


def _send(vm: entry_parts.RunningVm, datagram: bytes) -> None:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as made:
        made.sendto(datagram, (vm.host, entry_parts.DATA_PORT))


def test_opening_packet_reaches_the_target(
    start: Start, store: entry_parts.MemoryStore, server: socket.socket
) -> None:
    vm = start(entry_parts.host(1), store)
    _await_ready(vm)
    _send(vm, cookie_parts.packet(cookie_parts.SYN))
    assert _await_datagram(server).startswith(bytes(7) + b"\x0a")
    line = next(item for item in vm.log() if "event=flow_placed" in item)
    assert "flow=100.64.0.7:40001>198.18.0.1:443" in line
    assert "target=i-0a" in line
    assert "age_ms=" in line


def test_starts_without_the_store_from_another_vm(
    start: Start, store: entry_parts.MemoryStore, server: socket.socket
) -> None:
    """A VM is killed while the store is down, and starts again.

    Its callers would be refused until the store is back if it could not ask
    another VM. The configuration is too large for a datagram.
    """
    many = [("198.18.0.1", port, "desk") for port in range(443, 900)]
    store.write(cookie_parts.config_row(3, routes=many))
    first = start(entry_parts.host(1), store)
    _await_ready(first)
    away = entry_parts.MemoryStore()
    away.down = True
    second = start(entry_parts.host(2), away, entry_parts.host(1))
    _await_ready(second)
    _send(second, cookie_parts.packet(cookie_parts.SYN, port=899))
    assert _await_datagram(server)


def test_change_goes_from_one_vm_to_another(
    start: Start, store: entry_parts.MemoryStore
) -> None:
    """The store refuses one VM and serves the other.

    The refused one must not go on with the old rules.
    """
    away = entry_parts.MemoryStore()
    away.down = True
    first = start(entry_parts.host(1), store)
    second = start(entry_parts.host(2), away, entry_parts.host(1))
    _await_ready(second)
    store.write(cookie_parts.config_row(9, version=5))
    seen: list[str] = []

    def in_force() -> bool:
        seen.extend(second.log())
        return any("config_in_force" in item and "version=5" in item for item in seen)

    turning.until(in_force, "version 5")
    _await_ready(first)


def test_not_ready_without_a_store_or_peers(start: Start) -> None:
    """A VM starts alone while the store is down.

    Were it in rotation, its callers would get no answer.
    """
    away = entry_parts.MemoryStore()
    away.down = True
    vm = start(entry_parts.host(1), away)
    lines: list[str] = []
    turning.until(lambda: lines.extend(vm.log()) or "store_lost" in str(lines))
    assert not vm.ready()
    _send(vm, cookie_parts.packet(cookie_parts.SYN))
    turning.until(lambda: lines.extend(vm.log()) or "flow_not_ready" in str(lines))


def test_vm_that_stood_still_drops_old_opening_packets(
    start: Start, store: entry_parts.MemoryStore, server: socket.socket
) -> None:
    """A VM is suspended, and its callers have long opened their flows elsewhere.

    The opening packets that wait in its socket would open them a second time,
    at other targets.
    """
    vm = start(entry_parts.host(1), store)
    _await_ready(vm)
    _send(vm, cookie_parts.packet(cookie_parts.SYN))
    time.sleep(stall.STALL_MS / 1000 + 0.1)
    lines: list[str] = []
    turning.until(lambda: lines.extend(vm.log()) or "flow_dropped_old" in str(lines))
    with pytest.raises(BlockingIOError):
        server.recv(2000)
    turning.until(lambda: lines.extend(vm.log()) or "event=woke" in str(lines))
    time.sleep(carrying.BACKLOG_MS / 1000)
    _send(vm, cookie_parts.packet(cookie_parts.SYN, 40_002))
    assert _await_datagram(server)


def test_packets_that_came_during_the_start_are_carried(
    start: Start, store: entry_parts.MemoryStore, server: socket.socket
) -> None:
    """All VMs lose power, and the fabric sends packets while they start.

    Lost, their callers would send them again only after their deadline.
    """
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as waiting:
        waiting.bind((entry_parts.host(1), entry_parts.DATA_PORT))
        waiting.setblocking(False)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as made:
            raw = cookie_parts.packet(cookie_parts.SYN)
            made.sendto(raw, (entry_parts.host(1), entry_parts.DATA_PORT))
        start(entry_parts.host(1), store, waiting=waiting)
        assert _await_datagram(server)


def test_old_opening_packets_of_a_slow_start_are_dropped(
    start: Start, store: entry_parts.MemoryStore, server: socket.socket
) -> None:
    """A VM is killed and takes a second to start on a busy machine.

    An opening packet waited in its socket while the caller's last copy opened the
    flow through another VM. Placed here as well, it would be open at two servers,
    and the one that does not hold it would reset it.
    """
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as waiting:
        waiting.bind((entry_parts.host(1), entry_parts.DATA_PORT))
        waiting.setblocking(False)
        for copy, port in ((1, 40_001), (steering.LAST_RETRANSMISSION, 40_002)):
            raw = cookie_parts.packet(cookie_parts.SYN, port, acknowledged=copy)
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as made:
                made.sendto(raw, (entry_parts.host(1), entry_parts.DATA_PORT))
        vm = start(entry_parts.host(1), store, waiting=waiting, waited_ms=1000)
        taken = _await_datagram(server)
    # Nobody had answered the last copy when it was sent, and no other follows.
    assert cookie_parts.caller_port_of(taken) == 40_002
    lines: list[str] = []
    turning.until(lambda: lines.extend(vm.log()) or "flow_dropped_old" in str(lines))


def test_start_counts_as_a_pause(
    start: Start, store: entry_parts.MemoryStore, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against targets that look as if they hung when all VMs start again.

    Answers to what was carried during the imports lie in the socket unread.
    """
    noted: list[int] = []
    monkeypatch.setattr(
        observations.Observations,
        "record_pause",
        lambda _, now_ms: noted.append(now_ms),
    )
    begun_ms = clock.now_ms()
    start(entry_parts.host(1), store)
    assert noted
    assert noted[0] >= begun_ms


def test_leaving_vm_says_so(start: Start, store: entry_parts.MemoryStore) -> None:
    vm = start(entry_parts.host(1), store)
    _await_ready(vm)
    vm.vm.stop()
    assert not vm.ready()


def test_metrics(start: Start, store: entry_parts.MemoryStore) -> None:
    vm = start(entry_parts.host(1), store)
    _await_ready(vm)
    _send(vm, b"no packet")
    turning.until(lambda: b"packets_malformed_total 1" in vm.get("metrics", "/metrics"))
    page = vm.get("metrics", "/metrics")
    assert b"eelgrasswick_targets 1" in page
    assert b"HTTP/1.1 404" in vm.get("metrics", "/other")


def test_flood_of_bad_datagrams_is_bounded_in_the_log(
    start: Start, store: entry_parts.MemoryStore
) -> None:
    """Anyone can send to the port of an entry VM.

    A line for each datagram would take the time that packets need.
    """
    vm = start(entry_parts.host(1), store)
    _await_ready(vm)
    vm.log()
    for _ in range(100):
        _send(vm, b"no packet")
    turning.until(
        lambda: b"packets_malformed_total 100" in vm.get("metrics", "/metrics")
    )
    dropped = [line for line in vm.log() if "event=packet_dropped" in line]
    assert 0 < len(dropped) <= 60


def test_new_seeds_are_taken(start: Start, store: entry_parts.MemoryStore) -> None:
    away = entry_parts.MemoryStore()
    away.down = True
    start(entry_parts.host(1), store)
    alone = start(entry_parts.host(2), away)
    text = alone.text.replace("seeds = ", f"seeds = {entry_parts.host(1)}:1")
    alone.vm.reload(settings.read(text))
    _await_ready(alone)


def test_deleted_target_is_told(start: Start, store: entry_parts.MemoryStore) -> None:
    vm = start(entry_parts.host(1), store)
    _await_ready(vm)
    store.write(source.Row("servers/i-0a", None, 7))
    lines: list[str] = []
    turning.until(lambda: lines.extend(vm.log()) or "target_gone" in str(lines))


def _probe_all_refused(
    monkeypatch: pytest.MonkeyPatch, vm: entry_parts.RunningVm, blocked_s: float
) -> list[str]:
    """Probe the only target with a flow while its neighbour answers.

    Returns:
        The log's lines of the probe.
    """
    neighbour = next(t for t in vm.vm._catalog.targets if t.name == "i-0b")

    async def refused(*_: object) -> bool:
        time.sleep(blocked_s)
        vm.vm._observations.record_answer(clock.now_ms() + 1, neighbour)
        return False

    monkeypatch.setattr(probing, "accepts", refused)
    first = next(t for t in vm.vm._catalog.targets if t.name == "i-0a")
    raw = cookie_parts.packet(cookie_parts.ACK, cookie=first.cookie, data=b"GET")
    _send(vm, raw)
    turning.until(
        lambda: vm.vm._observations.tracker.open_flows(first.cookie), "an open flow"
    )
    vm.vm._observations.record_answer(clock.now_ms(), neighbour)
    vm.vm._forwarder.probe_reported(first.cookie)
    lines: list[str] = []
    turning.until(lambda: lines.extend(vm.log()) or "target_" in str(lines), "a probe")
    return [line for line in lines if "event=target_" in line]


def test_word_of_another_vm_leads_to_a_probe(
    start: Start, store: entry_parts.MemoryStore, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Another VM has found a server dead on which this one has a pausing flow.

    Its caller would lose its next request, and one that may run only once for good.
    """
    store.write(cookie_parts.target_row("i-0b", 3))
    vm = start(entry_parts.host(1), store)
    _await_ready(vm)
    vm.log()
    lines = _probe_all_refused(monkeypatch, vm, blocked_s=0)
    assert "event=target_dead" in lines[0]
    assert "flows_reset=1" in lines[0]


def test_probe_of_a_vm_that_stood_still_proves_nothing(
    start: Start, store: entry_parts.MemoryStore, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A VM stands still while it waits for a server to accept a connection.

    Its timer runs out before the answer is read. Reset, the open flows of a server
    that lives would be broken.
    """
    store.write(cookie_parts.target_row("i-0b", 3))
    vm = start(entry_parts.host(1), store)
    _await_ready(vm)
    vm.log()
    lines = _probe_all_refused(monkeypatch, vm, stall.PROBE_GAP_MS / 1000 + 0.1)
    assert "event=target_probed" in lines[0]
    assert "flows_reset=0" in lines[0]
