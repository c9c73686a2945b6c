"""The operators' commands, as processes and against the emulated store."""

import json
import pathlib
import subprocess
import sys
import typing

import pytest

from eelgrasswick import (
    change,
    errors,
    store,
)
from eelgrasswick.commands import command_operator, console
from eelgrasswick.emulation import emulated_platform
from tests import world

POLL_MS = world.START_MS


@pytest.fixture
def platform_world() -> world.World:
    """A platform in virtual time, without VMs."""
    return world.World(seed=3)


@pytest.fixture
def rules(tmp_path: pathlib.Path, rules_text: str) -> pathlib.Path:
    """A valid rules file."""
    path = tmp_path / "rules.txt"
    path.write_text(rules_text)
    return path


def operator(platform_world: world.World, name: str) -> change.Operator:
    """Return an operator who submits to the emulated store."""
    return change.Operator(platform_world.platform, name)


def accept(platform_world: world.World, text: str, author: str) -> change.Result:
    """Submit rules as an author and return the result."""
    submitter = operator(platform_world, author)
    plan = platform_world.wait(submitter.plan(text, platform_world.now_ms))
    return typing.cast(change.Result, platform_world.wait(submitter.submit(plan)))


def run(*arguments: str) -> subprocess.CompletedProcess[str]:
    """Run the command line in a process of its own."""
    return subprocess.run(
        [sys.executable, "-m", "eelgrasswick", *arguments],
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )


def test_check_prints_each_fault_with_line_and_column(tmp_path: pathlib.Path) -> None:
    """Guards against faults that are missing or have no position."""
    faulty = tmp_path / "rules.txt"
    faulty.write_text("drain d1\nbogus x  # asked by Wanjiru\n")
    done = run("check", str(faulty))
    assert done.returncode == 1
    assert "line 1, column 9" in done.stderr
    assert "line 2, column 1" in done.stderr
    as_json = run("check", str(faulty), "--json")
    assert as_json.returncode == 1
    assert {item["line"] for item in json.loads(as_json.stdout)} == {1, 2}


def test_check_names_a_file_it_cannot_read(tmp_path: pathlib.Path) -> None:
    """Guards against a traceback for a missing or binary file."""
    binary = tmp_path / "binary"
    binary.write_bytes(b"\xff\xfe")
    for path in (tmp_path / "absent", binary):
        done = run("check", str(path))
        assert done.returncode == 1
        assert str(path) in done.stderr
        assert "Traceback" not in done.stderr


def test_platform_that_is_down_gives_its_exit_code(rules: pathlib.Path) -> None:
    """Guards against commands that hide that the platform is unreachable.

    A traceback or exit code 0 would not show that nothing was changed.
    """
    platform = ("--platform", "http://127.0.0.1:9")
    for arguments in (
        ("apply", str(rules)),
        ("apply", str(rules), "--dry-run"),
        ("show",),
        ("audit",),
    ):
        done = run(*arguments, *platform)
        handling = errors.ERROR_HANDLING[errors.ErrorKind.STORE_UNAVAILABLE]
        assert done.returncode == handling.exit_code, done.stderr
        assert "store_unavailable" in done.stderr
        assert "Traceback" not in done.stderr


def test_platform_that_is_no_url_is_a_usage_error() -> None:
    """Guards against a traceback instead of the expected form of the URL."""
    done = run("show", "--platform", "nonsense")
    assert done.returncode == 2
    assert "write it like http://10.0.0.1:2379" in done.stderr
    assert "Traceback" not in done.stderr


def test_faulty_settings_give_their_exit_code(tmp_path: pathlib.Path) -> None:
    """Guards against a start that reports the first fault only, or another code."""
    settings = tmp_path / "vm.ini"
    settings.write_text("[vm]\nname = A B\n[what]\nx = 1\n")
    done = run("entry", str(settings))
    handling = errors.ERROR_HANDLING[errors.ErrorKind.SETTINGS_INVALID]
    assert done.returncode == handling.exit_code
    for expected in ("[vm] name", "[vm] zone: missing", "[what]: unknown section"):
        assert expected in done.stderr


def test_watch_submits_after_a_save_and_not_at_its_start(
    platform_world: world.World, rules: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against a start of the command that removes a colleague's lines.

    The watched copy is older than the accepted rules.
    """
    accept(
        platform_world, rules.read_text() + "drain d1  # asked by Otieno\n", "otieno"
    )
    watcher = command_operator.FileWatcher(operator(platform_world, "wanjiru"), rules)
    platform_world.wait(watcher.poll(POLL_MS))
    assert "outcome=waits_for_save" in capsys.readouterr().out
    assert len(platform_world.wait(operator(platform_world, "x").audit())) == 1
    rules.write_text(rules.read_text() + "drain d2  # asked by Wanjiru\n")
    platform_world.wait(watcher.poll(POLL_MS))
    assert "outcome=accepted sequence=2" in capsys.readouterr().out


def test_watch_prints_the_other_change_before_it_overwrites(
    platform_world: world.World, rules: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against an accepted line that another operator's save removes.

    Two operators edit the same text one after the other, and the second save lacks
    the first one's line.
    """
    text = rules.read_text()
    accept(platform_world, text, "wanjiru")
    watcher = command_operator.FileWatcher(operator(platform_world, "wanjiru"), rules)
    platform_world.wait(watcher.poll(POLL_MS))
    accept(platform_world, text + "drain d1  # asked by Otieno\n", "otieno")
    rules.write_text(text + "drain d2  # asked by Wanjiru\n")
    platform_world.wait(watcher.poll(POLL_MS))
    stderr = capsys.readouterr().err
    assert "otieno: +drain d1" in stderr
    assert "change_conflict" in stderr
    assert len(platform_world.wait(operator(platform_world, "x").audit())) == 2
    rules.write_text(
        text + "drain d1  # asked by Otieno\ndrain d2  # asked by Wanjiru\n"
    )
    platform_world.wait(watcher.poll(POLL_MS))
    assert "outcome=accepted sequence=3" in capsys.readouterr().out


def test_watch_submits_a_save_again_after_an_outage(
    platform_world: world.World, rules: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against a save that is lost in an outage without a further message."""
    watcher = command_operator.FileWatcher(operator(platform_world, "wanjiru"), rules)
    platform_world.wait(watcher.poll(POLL_MS))
    rules.write_text(rules.read_text() + "drain d2  # asked by Wanjiru\n")
    platform_world.platform.set_faults(emulated_platform.Faults(outage=True))
    platform_world.wait(watcher.poll(POLL_MS))
    assert "store_unavailable" in capsys.readouterr().err
    platform_world.platform.set_faults(emulated_platform.Faults())
    platform_world.wait(watcher.poll(POLL_MS))
    assert "outcome=accepted sequence=1" in capsys.readouterr().out


def test_watch_continues_when_its_file_is_replaced(
    platform_world: world.World, rules: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against a command that ends, or floods stderr, while no file exists."""
    watcher = command_operator.FileWatcher(operator(platform_world, "wanjiru"), rules)
    platform_world.wait(watcher.poll(POLL_MS))
    text = rules.read_text()
    rules.unlink()
    platform_world.wait(watcher.poll(POLL_MS))
    platform_world.wait(watcher.poll(POLL_MS))
    assert capsys.readouterr().err.count("No such file") == 1
    rules.write_text(text + "drain d2  # asked by Wanjiru\n")
    platform_world.wait(watcher.poll(POLL_MS))
    assert "outcome=accepted" in capsys.readouterr().out


def test_watch_prints_faults_and_continues(
    platform_world: world.World, rules: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against a command that ends when one save is invalid."""
    watcher = command_operator.FileWatcher(operator(platform_world, "wanjiru"), rules)
    platform_world.wait(watcher.poll(POLL_MS))
    text = rules.read_text()
    rules.write_text(text + "drain d2\nbogus # x\n")
    platform_world.wait(watcher.poll(POLL_MS))
    stderr = capsys.readouterr().err
    assert "rules_invalid: line 14, column 9" in stderr
    assert "rules_invalid: line 15, column 1" in stderr
    rules.write_text(text)
    platform_world.wait(watcher.poll(POLL_MS))
    assert "outcome=accepted" in capsys.readouterr().out


def test_write_whose_response_is_lost_is_reported_as_accepted(
    platform_world: world.World, rules_text: str
) -> None:
    """Guards against an accepted change that is reported as failed.

    The write takes effect but its response is lost. The operator would submit the
    change again or assume that it has no effect.
    """
    platform_world.platform.set_faults(emulated_platform.Faults(lost_answers=1))
    result = accept(platform_world, rules_text, "wanjiru")
    assert result.outcome is change.Outcome.ACCEPTED
    assert platform_world.platform.rows(store.RULES_KEY)


def test_table_shows_names_that_cannot_be_printed(
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Guards against one name in the store that hides the rows of the others."""
    console.print_table([{"vm": "half-\ud83d"}, {"vm": "vm2"}], as_json=False)
    assert capsys.readouterr().out == 'vm="half-\\ud83d"\nvm=vm2\n'
