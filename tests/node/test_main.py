"""Signals and settings changes during startup and operation of a real entry process."""

import json
import signal
import time

from tests.node.entryprocess import wait_until


def test_a_reload_during_the_imports_does_not_end_the_process(blocked_process):
    """SIGHUP during startup must not terminate the process, as it did in the soak with seed 7."""
    wait_until(lambda: blocked_process.ignores(signal.SIGHUP))
    for _ in range(20):
        blocked_process.send_signal(signal.SIGHUP)
        time.sleep(0.005)
    blocked_process.load_libraries()
    blocked_process.wait_for("start")
    assert not blocked_process.has_ended()


def test_sigterm_ends_the_process_with_exit_code_zero_within_the_grace_period(process):
    process.wait_for("start")
    started = time.monotonic()
    process.send_signal(signal.SIGTERM)
    assert process.wait(6.0) == 0
    assert time.monotonic() - started < 5.0


def test_a_reload_of_invalid_settings_is_reported_and_ignored(process, tmp_path):
    process.wait_for("start")
    (tmp_path / "node.json").write_text("{")
    process.send_signal(signal.SIGHUP)
    process.wait_for("reload_failed")
    assert not process.has_ended()


def test_settings_that_change_without_a_signal_are_read(process, tmp_path):
    process.wait_for("start")
    path = tmp_path / "node.json"
    fields = json.loads(path.read_text())
    path.write_text(json.dumps({**fields, "SeedNodes": ["127.0.0.9:1"]}))
    process.wait_for("reload")
