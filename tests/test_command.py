"""The operators' commands against the emulated store."""

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
from eelgrasswick.commands import command_operator
from eelgrasswick.emulation import emulated_platform
from tests import world

LOOK_MS = world.START_MS


@pytest.fixture
def made() -> world.World:
    """A platform in virtual time, without VMs."""
    return world.World(seed=3)


@pytest.fixture
def rules(tmp_path: pathlib.Path, rules_text: str) -> pathlib.Path:
    path = tmp_path / "rules.txt"
    path.write_text(rules_text)
    return path


def operator(made: world.World, name: str) -> change.Operator:
    return change.Operator(made.platform, name)


def accept(made: world.World, text: str, author: str) -> change.Result:
    """Submit a text and return how it ended."""
    who = operator(made, author)
    plan = made.wait(who.plan(text, made.now_ms))
    return typing.cast(change.Result, made.wait(who.submit(plan)))


def run(*arguments: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "eelgrasswick", *arguments],
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )


def test_check_prints_each_fault_with_line_and_column(tmp_path: pathlib.Path) -> None:
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
    binary = tmp_path / "binary"
    binary.write_bytes(b"\xff\xfe")
    for path in (tmp_path / "absent", binary):
        done = run("check", str(path))
        assert done.returncode == 1
        assert str(path) in done.stderr
        assert "Traceback" not in done.stderr


def test_platform_that_is_down_gives_its_exit_code(rules: pathlib.Path) -> None:
    # The platform does not answer. The operator must learn that nothing was
    # changed; a traceback or exit code 0 would leave that open.
    platform = ("--platform", "http://127.0.0.1:9")
    for arguments in (
        ("apply", str(rules)),
        ("apply", str(rules), "--dry-run"),
        ("show",),
        ("audit",),
    ):
        done = run(*arguments, *platform)
        answer = errors.ERROR_HANDLING[errors.ErrorKind.STORE_UNAVAILABLE]
        assert done.returncode == answer.exit_code, done.stderr
        assert "store_unavailable" in done.stderr
        assert "Traceback" not in done.stderr


def test_platform_that_is_no_url_is_a_usage_error() -> None:
    done = run("show", "--platform", "nonsense")
    assert done.returncode == 2
    assert "write it like http://10.0.0.1:2379" in done.stderr
    assert "Traceback" not in done.stderr


def test_faulty_settings_give_their_exit_code(tmp_path: pathlib.Path) -> None:
    settings = tmp_path / "vm.ini"
    settings.write_text("[vm]\nname = A B\n[what]\nx = 1\n")
    done = run("entry", str(settings))
    answer = errors.ERROR_HANDLING[errors.ErrorKind.SETTINGS_INVALID]
    assert done.returncode == answer.exit_code
    for expected in ("[vm] name", "[vm] zone: missing", "[what]: unknown section"):
        assert expected in done.stderr


def test_watch_submits_saves_and_not_its_start(
    made: world.World, rules: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    # An operator starts to watch a copy that is older than what is accepted.
    # Submitted at once, it would take a colleague's lines out again.
    accept(made, rules.read_text() + "drain d1  # asked by Otieno\n", "otieno")
    follower = command_operator.FileWatcher(operator(made, "wanjiru"), rules)
    made.wait(follower.poll(LOOK_MS))
    assert "outcome=waits_for_save" in capsys.readouterr().out
    assert len(made.wait(operator(made, "x").audit())) == 1
    rules.write_text(rules.read_text() + "drain d2  # asked by Wanjiru\n")
    made.wait(follower.poll(LOOK_MS))
    assert "outcome=accepted sequence=2" in capsys.readouterr().out


def test_watch_shows_the_other_change_before_it_overwrites(
    made: world.World, rules: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    # Two operators edit the same text in turn. The second save does not hold
    # the first one's line; it would vanish though its author saw it accepted.
    text = rules.read_text()
    accept(made, text, "wanjiru")
    follower = command_operator.FileWatcher(operator(made, "wanjiru"), rules)
    made.wait(follower.poll(LOOK_MS))
    accept(made, text + "drain d1  # asked by Otieno\n", "otieno")
    rules.write_text(text + "drain d2  # asked by Wanjiru\n")
    made.wait(follower.poll(LOOK_MS))
    shown = capsys.readouterr().err
    assert "otieno: +drain d1" in shown
    assert "change_conflict" in shown
    assert len(made.wait(operator(made, "x").audit())) == 2
    rules.write_text(
        text + "drain d1  # asked by Otieno\ndrain d2  # asked by Wanjiru\n"
    )
    made.wait(follower.poll(LOOK_MS))
    assert "outcome=accepted sequence=3" in capsys.readouterr().out


def test_watch_tries_a_save_again_after_an_outage(
    made: world.World, rules: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    # The platform is down when the operator saves. Without another try the
    # save would never go out, and no further line would say so.
    follower = command_operator.FileWatcher(operator(made, "wanjiru"), rules)
    made.wait(follower.poll(LOOK_MS))
    rules.write_text(rules.read_text() + "drain d2  # asked by Wanjiru\n")
    made.platform.set_faults(emulated_platform.Faults(outage=True))
    made.wait(follower.poll(LOOK_MS))
    assert "store_unavailable" in capsys.readouterr().err
    made.platform.set_faults(emulated_platform.Faults())
    made.wait(follower.poll(LOOK_MS))
    assert "outcome=accepted sequence=1" in capsys.readouterr().out


def test_watch_outlives_a_file_that_is_replaced(
    made: world.World, rules: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    follower = command_operator.FileWatcher(operator(made, "wanjiru"), rules)
    made.wait(follower.poll(LOOK_MS))
    text = rules.read_text()
    rules.unlink()
    made.wait(follower.poll(LOOK_MS))
    made.wait(follower.poll(LOOK_MS))
    assert capsys.readouterr().err.count("No such file") == 1
    rules.write_text(text + "drain d2  # asked by Wanjiru\n")
    made.wait(follower.poll(LOOK_MS))
    assert "outcome=accepted" in capsys.readouterr().out


def test_watch_prints_faults_and_goes_on(
    made: world.World, rules: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    follower = command_operator.FileWatcher(operator(made, "wanjiru"), rules)
    made.wait(follower.poll(LOOK_MS))
    text = rules.read_text()
    rules.write_text(text + "drain d2\nbogus # x\n")
    made.wait(follower.poll(LOOK_MS))
    shown = capsys.readouterr().err
    assert "rules_invalid: line 14, column 9" in shown
    assert "rules_invalid: line 15, column 1" in shown
    rules.write_text(text)
    made.wait(follower.poll(LOOK_MS))
    assert "outcome=accepted" in capsys.readouterr().out


def test_lost_answer_is_told_as_accepted(made: world.World, rules_text: str) -> None:
    # The write took effect, but its answer was lost. Told as failed, the
    # operator would submit the change a second time or take it for void.
    made.platform.set_faults(emulated_platform.Faults(lost_answers=1))
    result = accept(made, rules_text, "wanjiru")
    assert result.outcome is change.Outcome.ACCEPTED
    assert made.platform.rows(store.RULES_KEY)
