"""Signals to the real process at awkward moments."""

import json
import signal
import time

from tests.node.entryprocess import wait_until


def test_a_reload_during_the_imports_does_not_end_the_process(held_process):
    """Settings change while the process starts: seed 7 of the soak ended it so."""
    wait_until(lambda: held_process.ignores(signal.SIGHUP))
    for _ in range(20):
        held_process.send_signal(signal.SIGHUP)
        time.sleep(0.005)
    held_process.load_libraries()
    held_process.wait_for("start")
    assert not held_process.has_ended()


def test_a_request_to_stop_ends_the_process_with_zero_within_the_grace(process):
    process.wait_for("start")
    started = time.monotonic()
    process.send_signal(signal.SIGTERM)
    assert process.wait(6.0) == 0
    assert time.monotonic() - started < 5.0


def test_a_reload_reports_faulty_settings_and_goes_on(process, tmp_path):
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
