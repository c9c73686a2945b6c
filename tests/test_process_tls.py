"""Entry VMs as processes whose links use mutual TLS."""

import pathlib
import typing

import pytest
import trustme

from tests import fleet, test_process

COUNT = 4


def certify(run: fleet.Fleet, name: str, authority: trustme.CA) -> None:
    """Give a VM a certificate and name it in its settings."""
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
    """Two VMs with certificates that have the first configuration in force."""
    authority = trustme.CA()
    with fleet.reserved_block() as block:
        made = fleet.Fleet(tmp_path, COUNT, block)
        try:
            for name in ("vm1", "vm2", "vm3"):
                certify(made, name, authority)
            certify(made, "vm4", trustme.CA())
            made.start_command("platform", "standin", "platform", made.platform_address)
            made.await_platform()
            made.start_vm(made.entry_vms[0])
            made.start_vm(made.entry_vms[1])
            made.run_command(
                "apply", str(made.rules_path), "--platform", made.platform_url
            )
            test_process.await_serving(made, "vm1")
            test_process.await_serving(made, "vm2")
            yield made
        finally:
            made.stop_all()


def start_unlisted(run: fleet.Fleet, index: int) -> None:
    """Start a VM that the platform does not list."""
    node = run.entry_vms[index]
    settings = run.folder / f"{node.name}.ini"
    settings.write_text(run.settings_text(node))
    run.start_command(node.name, "entry", str(settings))


def test_configuration_travels_over_tls_to_known_certificates_only(
    run: fleet.Fleet,
) -> None:
    # The platform is down while VMs are replaced, so that configurations come
    # over links alone. One VM has a certificate of another authority; taken in,
    # anyone who can sign for himself could speak as a VM.
    run.set_emulator({"outage": True})
    start_unlisted(run, 2)
    start_unlisted(run, 3)
    test_process.until(
        lambda: test_process.in_force(run, "vm3", 1), "configuration over TLS"
    )
    test_process.until(lambda: test_process.alive(run, "vm3"), "vm3 alive")
    refused = ("vm1", "vm2")
    test_process.until(
        lambda: any(
            test_process.counted(run, name, "packets_unknown_sender")
            for name in refused
        ),
        "refused link",
    )
    assert not test_process.in_force(run, "vm4", 1)
    assert any(run.log_lines(name, "link_refused") for name in refused)
