"""The settings file: accepted texts, messages about faults, and the commands for settings, stores and stored lists."""

from pathlib import Path

import pytest
from click.testing import CliRunner

from tests.support.imports import modules_imported_at_start
from wickhinge.cli import main
from wickhinge.options import OptionsError, load
from wickhinge.options.load import parse_options
from wickhinge.store.copies import Copy
from wickhinge.store.maintenance import open_volume

ROOT = Path(__file__).parents[2]


def test_router_start_when_optional_subsystems_are_off_imports_none_of_them():
    loaded = modules_imported_at_start()
    optional = [
        f"wickhinge.{name}" for name in ("peers", "shared", "store", "membership", "options", "lab", "changelog")
    ]
    unexpected = ("msgspec", "lark", "twisted.internet.endpoints", *optional)
    assert "wickhinge.net.control.router_process" in loaded
    assert [name for name in loaded if name.startswith(unexpected)] == []


def test_deployed_settings_file_when_loaded_keeps_the_store_off():
    assert load(str(ROOT / "deploy/wickhinge.cue")).store.mode == "off"
    assert parse_options("", "x") == parse_options("// nothing\n", "x")


@pytest.mark.parametrize(
    "text",
    [
        'store: {mode: "on", dir: "/d"}',
        'store: mode: "on"\nstore: dir: "/d"',
        'store: {\n\tmode: "on", // on\n\tdir: "/d"\n}',
        '"store": {"mode": "on", "dir": "/d"}',
        'store: {mode: "on"}\nstore: {dir: "/d", mode: "on"}',
    ],
)
def test_parse_options_when_notation_differs_gives_the_same_values(text):
    options = parse_options(text, "x")
    assert (options.store.mode, options.store.dir, options.store.size_mb) == ("on", "/d", 4096)


@pytest.mark.parametrize(
    "text, message",
    [
        ('store: mode: "on"', "x: store.dir: is missing"),
        ("\nstor: 3", "x:2: stor: is no setting"),
        ("store: {\n\tsize_mb: 4\n}", "x:2: store.size_mb: 4 is not >= 8"),
        ("store: size_mb: 9.5", "x:1: store.size_mb: 9.5 is not a whole number"),
        ('store: size_mb: "9"', "'9' is not a whole number"),
        ('store: mode: "maybe"', "store.mode: is none of 'off', 'on'"),
        ("store: 3", "store: is not a record"),
        ("store: size_mb: 16\nstore: size_mb: 17", "x:2: store.size_mb: is given twice, with different values"),
        ("store: size_mb: int", "is not a value"),
        ("journal: continues: 1", "1 is not of type bool"),
        ('store: {\n\tmode "on"\n}', "x:2: cannot be read"),
        ("store: {", "cannot be read"),
        ("store: {#x: 3}", "#x: is no setting"),
        ("store: waiting_mb: true", "is not a number"),
        ("store: {size_mb: 16, segment_mb: 8}", "store.segment_mb: is over a quarter"),
        ("journal: quiet_s: 7", "7 is not <= 6"),
        ("store: dir: [1]", "store.dir: is not a string, number or boolean"),
    ],
)
def test_parse_options_when_a_setting_is_faulty_names_file_line_and_key(text, message):
    with pytest.raises(OptionsError) as caught:
        parse_options(text, "x")
    assert message in str(caught.value)


def test_load_when_the_file_is_missing_or_not_text_raises_options_error(tmp_path):
    with pytest.raises(OptionsError, match="cannot be read"):
        load(str(tmp_path / "none.cue"))
    (tmp_path / "bytes.cue").write_bytes(b"\xff\xfe")
    with pytest.raises(OptionsError, match="UTF-8"):
        load(str(tmp_path / "bytes.cue"))


def run_command(*arguments):
    """Run wickhinge with the arguments; return its exit code and output."""
    result = CliRunner().invoke(main, [str(argument) for argument in arguments])
    return result.exit_code, result.output


@pytest.fixture
def store_directory(tmp_path):
    """A store's directory with six objects of two parts each, in the groups 0, 1 and 2."""
    volume = open_volume(str(tmp_path / "tier"), write=True)
    for key in range(6):
        for part in range(2):
            copy = Copy(key, part, key % 3, b"t%d" % key, 1000.0 + key, 700, key)
            copy.location = volume.segments.append(copy, bytes([key, part]) * 350)
    volume.close()
    return tmp_path / "tier"


def test_store_commands_when_given_a_store_show_purge_and_compact_it(store_directory):
    code, out = run_command("store", "stat", store_directory, "--json")
    assert code == 0 and '"copies":12' in out and '"objects":6' in out
    assert run_command("store", "ls", store_directory, "--object", "0000000000000003")[1].count("\n") == 2
    assert run_command("store", "verify", store_directory)[0] == 0
    assert "4" in run_command("store", "purge", store_directory, "--group", "1", "--json")[1]
    assert '"purged":2' in run_command("store", "purge", store_directory, "--object", f"{2:016x}", "--json")[1]
    code, out = run_command("store", "compact", store_directory, "--json")
    assert code == 0 and '"copies":6' in out
    assert '"copies":6' in run_command("store", "stat", store_directory, "--json")[1]
    assert run_command("store", "verify", store_directory)[0] == 0
    assert '"purged":6' in run_command("store", "purge", store_directory, "--all", "--json")[1]


def test_store_verify_when_a_copy_is_damaged_exits_with_0_and_when_a_purge_log_is_with_1(store_directory):
    path = store_directory / "segment-0000000001.wh"
    data = bytearray(path.read_bytes())
    data[200] ^= 1
    path.write_bytes(data)
    code, out = run_command("store", "verify", store_directory, "--json")
    # A start skips the damaged copy, so nothing that a start relies on is damaged.
    assert (code, '"copies":11' in out) == (0, True)
    (store_directory / "purges-b.wh").write_bytes(b"x")
    assert run_command("store", "verify", store_directory)[0] == 1


@pytest.mark.parametrize(
    "arguments, message",
    [
        (("store", "stat", "nowhere"), "does not exist"),
        (("store", "purge", "."), "give one of"),
        (("store", "purge", ".", "--object", "xyz"), "hex"),
        (("store", "stat", "."), "is no store"),
        (("check-config",), "give --options"),
        (("check-config", "--options", "nowhere"), "cannot be read"),
    ],
)
def test_command_when_arguments_or_files_are_unusable_exits_with_2_and_a_reason(
    tmp_path, monkeypatch, arguments, message
):
    monkeypatch.chdir(tmp_path)
    code, out = run_command(*arguments)
    assert code == 2 and message in out


def test_check_config_when_settings_are_valid_prints_them():
    code, out = run_command(
        "check-config", "--options", ROOT / "deploy/wickhinge.cue", "--config", ROOT / "example/config.json"
    )
    assert code == 0 and "store.mode = off" in out and "tariffs = ['pages', 'results']" in out


def test_list_commands_when_given_a_stored_list_show_compare_and_export_it(tmp_path):
    from wickhinge.membership.endpoint_list_file import EndpointListFile
    from wickhinge.membership.stored_list import EndpointRecord, StoredList
    from wickhinge.store.files import Files

    endpoints = [
        EndpointRecord(number, "127.0.0.1", 9000 + number, "ready", "here", "box", 0, 1.0, None, 5.0, "live")
        for number in range(4)
    ]
    for name, stored in (("a", endpoints), ("b", endpoints[:1])):
        list_file = EndpointListFile(Files(), str(tmp_path / name))
        list_file.open()
        list_file.write(StoredList("d", 5.0, 5.0, 3, stored, [(9, 1.0)], [(7, 0, 2.0)]))
        list_file.close()
    code, out = run_command("list", "show", tmp_path / "a")
    assert code == 0 and "s-00000003 127.0.0.1:9003" in out and "1 purges" in out
    assert run_command("list", "age", tmp_path / "a")[0] == 1
    code, out = run_command("list", "diff", tmp_path / "a", tmp_path / "b", "--json")
    assert code == 1 and '"gone":["s-00000001","s-00000002","s-00000003"]' in out and "1 machines where 4" in out
    assert run_command("list", "diff", tmp_path / "a", tmp_path / "a")[0] == 0
    assert run_command("list", "export", tmp_path / "a", tmp_path / "out.json")[0] == 0
    assert '"0000000000000007"' in (tmp_path / "out.json").read_text()
    (tmp_path / "a/list-b.wh").write_bytes(b"x")
    assert run_command("list", "show", tmp_path / "a")[0] == 2
    assert run_command("list", "show", tmp_path / "a/list-b.wh")[0] == 2
