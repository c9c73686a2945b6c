"""VM processes whose links use mutual TLS."""

import pathlib
import typing

import pytest
import trustme

from tests import fleet, test_process

VM_COUNT = 4


def certify(run: fleet.Fleet, name: str, authority: trustme.CA) -> None:
    """Issue a certificate for a VM and add it to the VM's settings."""
    issued = authority.issue_cert(name)
    paths = {part: run.folder / f"{name}.{part}.pem" for part in ("own", "key", "ca")}
    issued.cert_chain_pems[0].write_to_path(paths["own"])
    issued.private_key_pem.write_to_path(paths["key"])
    authority.cert_pem.write_to_path(paths["ca"])
    run.tls[name] = (
        f"[tls]\ncertificate = {paths['own']}\nkey = {paths['key']}\n"
        f"authority = {paths['ca']}\n"
    )


@pytest.fixture
def run(tmp_path: pathlib.Path) -> typing.Iterator[fleet.Fleet]:
    """Two VMs with certificates that have sequence 1 in force."""
    authority = trustme.CA()
    with fleet.reserved_block() as block:
        created = fleet.Fleet(tmp_path, VM_COUNT, block)
        try:
            for name in ("vm1", "vm2", "vm3"):
                certify(created, name, authority)
            certify(created, "vm4", trustme.CA())
            created.start_command(
                "platform", "standin", "platform", created.platform_address
            )
            created.await_platform()
            created.start_vm(created.entry_vms[0])
            created.start_vm(created.entry_vms[1])
            created.run_command(
                "apply", str(created.rules_path), "--platform", created.platform_url
            )
            test_process.await_serving(created, "vm1")
            test_process.await_serving(created, "vm2")
            yield created
        finally:
            created.stop_all()


def start_unlisted(run: fleet.Fleet, index: int) -> None:
    """Start a VM that the platform does not list."""
    node = run.entry_vms[index]
    settings = run.folder / f"{node.name}.ini"
    settings.write_text(run.settings_text(node))
    run.start_command(node.name, "entry", str(settings))


def test_configuration_is_sent_only_to_vms_with_valid_certificates(
    run: fleet.Fleet,
) -> None:
    """Guards against certificates of another authority that are accepted for a VM.

    The platform is down while VMs are replaced, so configurations arrive over links
    only. The certificate of one VM is from another authority.
    """
    run.set_emulator({"outage": True})
    start_unlisted(run, 2)
    start_unlisted(run, 3)
    test_process.until(
        lambda: test_process.in_force(run, "vm3", 1), "configuration over TLS"
    )
    test_process.until(lambda: test_process.alive(run, "vm3"), "vm3 alive")
    accepting = ("vm1", "vm2")
    test_process.until(
        lambda: any(
            test_process.counted(run, name, "packets_unknown_sender")
            for name in accepting
        ),
        "refused link",
    )
    assert not test_process.in_force(run, "vm4", 1)
    assert any(run.log_lines(name, "link_refused") for name in accepting)
