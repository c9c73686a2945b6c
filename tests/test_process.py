"""VM processes on loopback: start, stop, invalid packets and outages."""

import json
import pathlib
import signal
import socket
import time
import typing

import pytest

from tests import fleet

LIMIT_S = 30
STOP_LIMIT_S = 10


def until(
    condition: typing.Callable[[], bool], description: str, limit_s: float = LIMIT_S
) -> None:
    """Poll until a condition holds; fail after a limit with its description."""
    end_s = time.monotonic() + limit_s
    while not condition():
        assert time.monotonic() < end_s, f"condition does not hold: {description}"
        time.sleep(0.05)


def in_force(run: fleet.Fleet, name: str, sequence: int) -> bool:
    """Return whether a VM has logged a sequence as in force."""
    return any(
        fleet.log_field(line, "sequence") == str(sequence)
        for line in run.log_lines(name, "config_in_force")
    )


def counted(run: fleet.Fleet, name: str, metric: str) -> int:
    """Return the latest value of a metric in a VM's log."""
    lines = run.log_lines(name, "metrics")
    return int(fleet.log_field(lines[-1], metric) or 0) if lines else 0


def alive(run: fleet.Fleet, name: str) -> bool:
    """Return whether a VM has logged itself as alive."""
    return any(
        fleet.log_field(line, "member") == name
        and fleet.log_field(line, "state") == "alive"
        for line in run.log_lines(name, "member_changed")
    )


def await_serving(run: fleet.Fleet, name: str) -> None:
    """Wait until a VM has sequence 1 in force and is alive."""
    until(lambda: in_force(run, name, 1), f"configuration of {name}")
    until(lambda: alive(run, name), f"{name} alive")


def has_logged_leave(run: fleet.Fleet, name: str, gone: str) -> bool:
    """Return whether a VM has logged that another one left."""
    return any(
        fleet.log_field(line, "member") == gone
        and fleet.log_field(line, "state") == "left"
        for line in run.log_lines(name, "member_changed")
    )


def apply(run: fleet.Fleet) -> str:
    """Submit the rules file and return the output."""
    done = run.run_command("apply", str(run.rules_path), "--platform", run.platform_url)
    assert done.returncode == 0, done.stderr
    return done.stdout


@pytest.fixture(scope="module")
def block() -> typing.Iterator[int]:
    """A block of loopback addresses that is reserved for these tests."""
    with fleet.reserved_block() as block:
        yield block


@pytest.fixture(scope="module")
def run(
    block: int, tmp_path_factory: pytest.TempPathFactory
) -> typing.Iterator[fleet.Fleet]:
    """Three VMs that have sequence 1 in force; a fourth one is not started."""
    created = fleet.Fleet(tmp_path_factory.mktemp("fleet"), 4, block)
    try:
        created.start_command(
            "platform", "standin", "platform", created.platform_address
        )
        created.await_platform()
        common = ("--platform", created.platform_url)
        created.start_command(
            "fabric",
            "standin",
            "fabric",
            created.fabric_inside,
            created.fabric_outside,
            *common,
        )
        report = str(created.folder / "targets.json")
        created.start_command(
            "targets", "standin", "targets", str(created.rules_path), report, *common
        )
        for node in created.entry_vms[:3]:
            created.start_vm(node)
        assert "outcome=accepted" in apply(created)
        for node in created.entry_vms[:3]:
            await_serving(created, node.name)
        yield created
    finally:
        created.stop_all()


def run_callers(run: fleet.Fleet, name: str) -> list[typing.Any]:
    """Run callers for 2 s and return the history of each flow."""
    report = run.folder / f"{name}.json"
    callers = run.start_command(
        name,
        "standin",
        "callers",
        str(run.rules_path),
        run.fabric_outside,
        str(report),
        *("--rate-per-s", "20", "--duration-s", "2", "--grace-s", "15"),
        *("--long-parts", "10"),
    )
    callers.wait(LIMIT_S)
    return typing.cast(list[typing.Any], json.loads(report.read_text()))


def test_all_flows_complete(run: fleet.Fleet) -> None:
    """Guards against flows that the fleet breaks or leaves unanswered."""
    until(lambda: in_force(run, "vm1", 1), "configuration")
    outcomes = {item[6] for item in run_callers(run, "callers")}
    assert outcomes == {"whole"}


def test_show_and_audit_print_what_is_in_force(run: fleet.Fleet) -> None:
    """Guards against an operator who can't see where a change is in force."""

    def shown() -> dict[str, int]:
        done = run.run_command("show", "--platform", run.platform_url, "--json")
        assert done.returncode == 0, done.stderr
        return {item["vm"]: item["sequence"] for item in json.loads(done.stdout)}

    until(lambda: shown() == {"vm1": 1, "vm2": 1, "vm3": 1}, "all reported")
    audit = run.run_command("audit", "--platform", run.platform_url, "--json")
    entries = json.loads(audit.stdout)
    assert [(item["sequence"], item["outcome"]) for item in entries] == [
        (1, "accepted")
    ]
    plain = run.run_command("audit", "--platform", run.platform_url)
    assert "outcome=accepted" in plain.stdout


def test_show_explains_a_flow_and_a_target(run: fleet.Fleet) -> None:
    """Guards against missing explanations, and responses to untrusted addresses."""
    source = ("--from", f"127.{run.block}.1.90")
    flow = ("show", "--flow", "tcp/10.9.0.1:4000>10.1.0.1:443", "--json")
    by_list = run.run_command(*flow, *source, "--platform", run.platform_url)
    assert by_list.returncode == 0, by_list.stderr
    explanations = json.loads(by_list.stdout)
    assert {item["default_target"] for item in explanations} != {"none"}
    assert any(item["home"] == item["vm"] for item in explanations)
    target = ("show", "--target", "d1", "--vm", f"{run.entry_vms[0].ip}:6081")
    by_vm = run.run_command(*target, *source)
    assert "takes new flows by its weight" in by_vm.stdout
    outsider = run.run_command(*target, "--from", f"127.{run.block}.7.1")
    assert outsider.returncode == 6
    assert "vm_silent" in outsider.stderr
    assert run.run_command("show", "--flow", "what").returncode == 1


def test_dry_run_and_stale_base_change_nothing(run: fleet.Fleet) -> None:
    """Guards against a submission that the operator did not intend."""
    text = run.rules_path.read_text()
    run.rules_path.write_text(text + "drain d1  # asked by Otieno\n")
    common = ("apply", str(run.rules_path), "--platform", run.platform_url)
    dry = run.run_command(*common, "--dry-run")
    stale = run.run_command(*common, "--based-on", "0")
    run.rules_path.write_text(text)
    assert dry.returncode == 0
    assert "+drain d1  # asked by Otieno" in dry.stdout
    assert "outcome=dry_run sequence=1" in dry.stdout
    assert stale.returncode == 4
    assert "change_conflict" in stale.stderr
    assert "outcome=unchanged sequence=1" in apply(run)


def test_sighup_is_refused_with_a_log_line(run: fleet.Fleet) -> None:
    """Guards against an operator who assumes that SIGHUP reloaded the settings."""
    run.send_signal("vm2", signal.SIGHUP)
    until(lambda: bool(run.log_lines("vm2", "reload_refused")), "refusal")
    assert run.processes["vm2"].poll() is None


def test_invalid_input_at_every_port_is_counted_and_survived(run: fleet.Fleet) -> None:
    """Guards against corrupt input that ends a VM and stalls the flows of its homes.

    Corrupt datagrams, and connections from outsiders, reach each port of the VM.
    """
    node = run.entry_vms[0]
    invalid_packets = [
        b"",
        b"\x45",
        b"\xff" * 200,
        b"\x60" + b"\0" * 60,
        b"\x45" + b"\0" * 19,
    ]
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        sender.bind((f"127.{run.block}.1.99", 0))
        for payload in invalid_packets:
            sender.sendto(payload, (node.ip, 6080))
            sender.sendto(payload, (node.ip, 6081))
    for host in (f"127.{run.block}.1.99", f"127.{run.block}.7.1"):
        link = socket.create_connection((node.ip, 6082), LIMIT_S, (host, 0))
        link.settimeout(LIMIT_S)
        link.sendall(b"\x16\x03garbage\r\n\r\n")
        while True:
            try:
                if not link.recv(100):
                    break
            except OSError:
                break
        link.close()
    until(lambda: counted(run, "vm1", "packets_malformed") >= 4, "malformed")
    until(lambda: counted(run, "vm1", "packets_unsupported") >= 1, "unsupported")
    until(lambda: counted(run, "vm1", "messages_invalid") >= 5, "invalid")
    until(lambda: counted(run, "vm1", "packets_unknown_sender") >= 1, "outsider")
    assert run.log_lines("vm1", "link_refused")
    assert run.processes["vm1"].poll() is None


def test_vm_started_in_an_outage_gets_its_configuration_from_peers(
    run: fleet.Fleet,
) -> None:
    """Guards against a replaced VM that has no rules and drops its packets.

    The platform is down when the VM starts.
    """
    run.set_emulator({"outage": True})
    try:
        node = run.entry_vms[3]
        settings = run.folder / "vm4.ini"
        settings.write_text(run.settings_text(node))
        run.start_command("vm4", "entry", str(settings))
        await_serving(run, "vm4")
        line = run.log_lines("vm4", "config_in_force")[0]
        assert fleet.log_field(line, "source") in {"vm1", "vm2", "vm3"}
    finally:
        run.set_emulator({"outage": False})


def test_terminated_vm_leaves_the_fleet_and_exits(run: fleet.Fleet) -> None:
    """Guards against a planned replacement that loses flows.

    A VM that does not hand over its homes and exit is killed by its supervisor.
    """
    until(lambda: alive(run, "vm1"), "vm1")
    process = run.processes["vm3"]
    run.list_vm(run.entry_vms[2], "leaving")
    run.send_signal("vm3")
    assert process.wait(STOP_LIMIT_S) == 0
    assert run.log_lines("vm3", "vm_stopped")
    until(lambda: has_logged_leave(run, "vm1", "vm3"), "vm1 logged that vm3 left")
    until(lambda: has_logged_leave(run, "vm2", "vm3"), "vm2 logged that vm3 left")
    run.list_vm(run.entry_vms[2], "gone")
    assert {item[6] for item in run_callers(run, "callers2")} == {"whole"}


def test_second_vm_on_the_same_address_is_refused(
    run: fleet.Fleet, tmp_path: pathlib.Path
) -> None:
    """Guards against two processes that share the ports of one VM."""
    settings = tmp_path / "vm1.ini"
    settings.write_text(run.settings_text(run.entry_vms[0]))
    done = run.run_command("entry", str(settings))
    assert done.returncode == 2
    assert "settings_invalid: [vm]" in done.stderr
