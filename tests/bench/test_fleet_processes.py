"""Processes of a fleet run that end and start again under the same name."""

from bench.scale.fleet_processes import Processes


def test_wait_for_output_when_a_process_has_started_again_waits_for_its_own_output(tmp_path):
    """A line of the killed process must not make the process after it look ready."""
    program = "import sys, time; print('ready', sys.argv[1], flush=True); time.sleep(60)"
    late_program = f"import time; time.sleep(0.3); {program}"
    with Processes(tmp_path) as processes:
        processes.start("one", "-c", program, "first")
        processes.wait_for_output(["one"], b"ready")
        processes.kill("one")
        processes.start("one", "-c", late_program, "second")
        processes.wait_for_output(["one"], b"ready")
        assert processes.output_path("one").read_bytes() == b"ready first\nready second\n"
        assert processes.output_of_running("one") == b"ready second\n"
