"""Tests of an entry VM on loopback sockets."""

import socket
import time
import typing

import cbor2
import pytest

from eelgrasswick.cookie import (
    clock,
    comparison,
    observations,
    probing,
    settings,
    source,
    stall,
    steering,
    store_watch,
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
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        sender.bind((entry_parts.host(9), 0))
        sender.setblocking(False)
        yield sender


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


def _await_datagram(endpoint: socket.socket) -> bytes:
    got: list[bytes] = []

    def received() -> bool:
        try:
            got.append(endpoint.recv(2000))
        except BlockingIOError:
            return False
        return True

    turning.until(received, "a datagram")
    return got[0]


def _send(vm: entry_parts.RunningVm, datagram: bytes) -> None:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        sender.sendto(datagram, (vm.host, entry_parts.DATA_PORT))


def test_opening_packet_reaches_a_target_and_is_logged(
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


def test_copy_of_an_opening_packet_waits_until_its_flow_is_open(
    start: Start, store: entry_parts.MemoryStore, server: socket.socket
) -> None:
    """Guards against a second target that opens a flow whose answer was just late."""
    vm = start(entry_parts.host(1), store)
    _await_ready(vm)
    cookie = next(iter(vm.vm._catalog.targets)).cookie
    _send(vm, cookie_parts.packet(cookie_parts.SYN, 40_001, acknowledged=1))
    _send(vm, cookie_parts.packet(cookie_parts.SYN, 40_002, acknowledged=1))
    _send(vm, cookie_parts.packet(cookie_parts.ACK, 40_001, 2, 9, cookie))
    ports = [cookie_parts.caller_port_of(_await_datagram(server)) for _ in range(2)]
    assert ports == [40_001, 40_002]
    lines = vm.log()
    assert [item for item in lines if "event=flow_copy_not_needed" in item]
    assert len([item for item in lines if "event=flow_placed " in item]) == 1


def test_vm_without_a_store_starts_with_rows_of_another_vm(
    start: Start, store: entry_parts.MemoryStore, server: socket.socket
) -> None:
    """Guards against a VM that restarts without the store and refuses its callers."""
    # This configuration is too large for a datagram.
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


def test_vm_that_the_store_refuses_gets_changes_from_another_vm(
    start: Start, store: entry_parts.MemoryStore
) -> None:
    """Guards against old rules at a VM that the store refuses to serve."""
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
    """Guards against a VM without routes in rotation, whose callers get no answer."""
    away = entry_parts.MemoryStore()
    away.down = True
    vm = start(entry_parts.host(1), away)
    lines: list[str] = []
    turning.until(lambda: lines.extend(vm.log()) or "store_lost" in str(lines))
    assert not vm.ready()
    _send(vm, cookie_parts.packet(cookie_parts.SYN))
    turning.until(lambda: lines.extend(vm.log()) or "flow_not_ready" in str(lines))


def test_vm_that_was_suspended_drops_old_opening_packets(
    start: Start, store: entry_parts.MemoryStore, server: socket.socket
) -> None:
    """Guards against flows opened twice, at different targets.

    While a VM is suspended, its callers open their flows through other VMs, and the
    opening packets stay in its socket.
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
    time.sleep(stall.BACKLOG_MS / 1000)
    _send(vm, cookie_parts.packet(cookie_parts.SYN, 40_002))
    assert _await_datagram(server)


def test_packets_that_arrive_during_the_start_are_forwarded(
    start: Start, store: entry_parts.MemoryStore, server: socket.socket
) -> None:
    """Guards against lost packets when all VMs start again after a power failure.

    Callers would retransmit them only after their deadline.
    """
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as waiting:
        waiting.bind((entry_parts.host(1), entry_parts.DATA_PORT))
        waiting.setblocking(False)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            raw = cookie_parts.packet(cookie_parts.SYN)
            sender.sendto(raw, (entry_parts.host(1), entry_parts.DATA_PORT))
        start(entry_parts.host(1), store, waiting=waiting)
        assert _await_datagram(server)


def test_old_opening_packets_of_a_slow_start_are_dropped(
    start: Start, store: entry_parts.MemoryStore, server: socket.socket
) -> None:
    """Guards against flows placed at two targets, one of which resets the flow.

    While a killed VM takes a second to start on a busy machine, an opening packet is
    in its socket, and the caller's last copy opens the flow through another VM.
    """
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as waiting:
        waiting.bind((entry_parts.host(1), entry_parts.DATA_PORT))
        waiting.setblocking(False)
        for copy, port in ((1, 40_001), (steering.LAST_RETRANSMISSION, 40_002)):
            raw = cookie_parts.packet(cookie_parts.SYN, port, acknowledged=copy)
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
                sender.sendto(raw, (entry_parts.host(1), entry_parts.DATA_PORT))
        vm = start(entry_parts.host(1), store, waiting=waiting, waited_ms=1000)
        received = _await_datagram(server)
    # The last copy was sent because no earlier copy was answered, and no further copy
    # follows, so the VM forwards it.
    assert cookie_parts.caller_port_of(received) == 40_002
    lines: list[str] = []
    turning.until(lambda: lines.extend(vm.log()) or "flow_dropped_old" in str(lines))


def test_start_counts_as_a_pause(
    start: Start, store: entry_parts.MemoryStore, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against targets that look hung when all VMs start again.

    Answers to packets that were forwarded during the imports are still unread.
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


def test_stopping_vm_is_not_ready(start: Start, store: entry_parts.MemoryStore) -> None:
    vm = start(entry_parts.host(1), store)
    _await_ready(vm)
    vm.vm.stop()
    assert not vm.ready()


def test_metrics_page_has_counters_and_gauges(
    start: Start, store: entry_parts.MemoryStore
) -> None:
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
    """Guards against a log line for each bad datagram, which would delay packets."""
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


def test_seeds_of_reloaded_settings_are_contacted(
    start: Start, store: entry_parts.MemoryStore
) -> None:
    away = entry_parts.MemoryStore()
    away.down = True
    start(entry_parts.host(1), store)
    alone = start(entry_parts.host(2), away)
    text = alone.text.replace("seeds = ", f"seeds = {entry_parts.host(1)}:1")
    alone.vm.reload(settings.read(text))
    _await_ready(alone)


def test_deleted_target_is_logged(start: Start, store: entry_parts.MemoryStore) -> None:
    vm = start(entry_parts.host(1), store)
    _await_ready(vm)
    store.write(source.Row("servers/i-0a", None, 7))
    lines: list[str] = []
    turning.until(lambda: lines.extend(vm.log()) or "target_gone" in str(lines))


def _probe_all_refused(
    monkeypatch: pytest.MonkeyPatch, vm: entry_parts.RunningVm, blocked_s: float
) -> list[str]:
    """Probe, without success, the only target with a flow while its neighbour answers.

    Returns:
        The log lines about the probe.
    """
    neighbour = next(t for t in vm.vm._catalog.targets if t.name == "i-0b")

    async def refused(*_: object) -> comparison.Result:
        time.sleep(blocked_s)
        vm.vm._observations.record_answer(clock.now_ms() + 1, neighbour)
        return comparison.Result(comparison.Outcome.REFUSED, 0, 1)

    monkeypatch.setattr(probing, "compare", refused)
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
    return [line for line in lines if "target_" in line]


def test_dead_target_notice_of_another_vm_leads_to_a_probe(
    start: Start, store: entry_parts.MemoryStore, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against an idle flow on a dead target whose caller loses a request.

    A request that may run only once would be lost for good.
    """
    store.write(cookie_parts.target_row("i-0b", 3))
    vm = start(entry_parts.host(1), store)
    _await_ready(vm)
    vm.log()
    lines = _probe_all_refused(monkeypatch, vm, blocked_s=0)
    reset, dead = lines
    assert "event=target_dead " in dead
    assert "flows_reset=1" in dead
    assert "outcome=refused" in dead
    assert "longest_gap_ms=" in dead
    assert "event=flow_target_dead_reset" in reset
    assert "reason=probe_failed" in reset
    assert "known_by=former_packet" in reset
    for line in (reset, dead):
        assert "born_ms=1000 row_revision=2 row_origin=store row_age_ms=" in line


def test_failed_probe_of_a_vm_that_was_suspended_resets_no_flow(
    start: Start, store: entry_parts.MemoryStore, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against resetting flows of a live target after a pause of the VM.

    The probe's time-out expires during the pause, before the VM reads the answer.
    """
    store.write(cookie_parts.target_row("i-0b", 3))
    vm = start(entry_parts.host(1), store)
    _await_ready(vm)
    vm.log()
    lines = _probe_all_refused(monkeypatch, vm, stall.PROBE_GAP_MS / 1000 + 0.1)
    assert "event=target_probed" in lines[0]
    assert "flows_reset=0" in lines[0]


@pytest.mark.parametrize(
    ("owner", "method"),
    [
        (observations.Observations, "tick"),
        (store_watch.StoreWatch, "check"),
    ],
    ids=["tick", "check"],
)
def test_vm_goes_on_after_an_exception_in_a_periodic_task(
    start: Start,
    store: entry_parts.MemoryStore,
    monkeypatch: pytest.MonkeyPatch,
    owner: type,
    method: str,
) -> None:
    """Guards against a VM that forwards packets by rows it never updates again."""
    vm = start(entry_parts.host(1), store)
    _await_ready(vm)

    def fail(*_: object) -> None:
        monkeypatch.undo()
        raise RuntimeError("unexpected")

    monkeypatch.setattr(owner, method, fail)
    lines: list[str] = []
    turning.until(lambda: lines.extend(vm.log()) or "event=task_failed" in str(lines))
    assert "detail=unexpected" in str(lines)
    store.write(cookie_parts.config_row(9, version=5))
    turning.until(lambda: lines.extend(vm.log()) or "version=5" in str(lines))


def test_vm_goes_on_after_a_message_with_an_invalid_address(
    start: Start, store: entry_parts.MemoryStore
) -> None:
    """Guards against one peer message that ends the exchange with all VMs."""
    vm = start(entry_parts.host(1), store)
    _await_ready(vm)
    peer_port = entry_parts.DATA_PORT + 2
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as peer:
        peer.bind((entry_parts.host(2), peer_port))
        peer.setblocking(False)
        message = [1, 1, "z1", True, 0, 0, None, [["not an address", "z1"]], []]
        peer.sendto(cbor2.dumps(message), (vm.host, peer_port))
        lines: list[str] = []
        turning.until(lambda: lines.extend(vm.log()) or "_refused" in str(lines))
        valid = [*message[:7], [], []]
        peer.sendto(cbor2.dumps(valid), (vm.host, peer_port))
        # The response to the valid message, and requests of later ticks.
        for _ in range(4):
            assert _await_datagram(peer)
