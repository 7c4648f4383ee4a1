"""Both formats of a configuration: the resulting settings, and the one-line error for an invalid one."""

from __future__ import annotations

import json
import re
import tomllib
from pathlib import Path
from typing import Any

import pytest
from laurelstep.__main__ import main, read_config
from laurelstep.balancing.events import KEYED, SAFE, SCOPE_CELL, UNSAFE
from laurelstep.consensus.options import ConsensusSettings, default_voter_count
from laurelstep.library import Client
from laurelstep.maintenance.settings import MaintenanceSettings
from laurelstep.settings import ConfigError, read_file, read_platform
from laurelstep.settings.operator import AccordTable, OperatorFile, read_operator

from tests.sockets import SETTINGS

# Keys of [accord] that the shipped file shows with their defaults.
SHOWN = ("link", "store_path", "heartbeat_ms", "election_ms", "drift")
ROOT = Path(__file__).parent.parent
CLASS = """
[[deployment.classes]]
name = "view"
effect = "safe"
aim_ms = 500
deadline_ms = 2000
"""
ALL_KEYS = """
[deployment]
listen = "127.0.0.1:7070"
discovery = "127.0.0.1:8500"
sockets = 256
seed = "8c1f"
zone = "b"
zones = ["a", "b"]
kinds = ["std"]
reports = ["queue", "qps"]
max_attempts = 4
second_copies = true
drain_grace_ms = 250
cold_share = 0.13
cold_ms = 23000
[[deployment.classes]]
name = "put"
effect = "keyed"
aim_ms = 500
deadline_ms = 2000
worth = 8
scope = "cell"
window_ms = 10000
[[deployment.tenants]]
name = "acme"
allowance_per_s = 20
"""


def write_file(folder: Path, text: str, name: str = "operator.toml") -> str:
    path = folder / name
    path.write_text(text)
    return str(path)


def test_the_operators_format_expresses_all_that_the_platforms_does(tmp_path: Path) -> None:
    config = read_file(write_file(tmp_path, ALL_KEYS))
    settings = config.settings
    assert (config.listen, config.discovery, config.seed) == (("127.0.0.1", 7070), "127.0.0.1:8500", 0x8C1F)
    assert (config.sockets, config.drain_grace_us, config.known) == (256, 250_000, None)
    (put,) = settings.classes
    assert (put.effect, put.scope, put.window_us, put.worth) == (KEYED, SCOPE_CELL, 10_000_000, 8.0)
    assert (put.aim_us, put.deadline_us) == (500_000, 2_000_000)
    assert (settings.zone, settings.zones, settings.max_attempts) == (1, 2, 4)
    assert settings.second_copies and settings.can_cancel and settings.retry_after
    assert (settings.cold_share, settings.cold_us, settings.tenants) == (0.13, 23_000_000, (20.0,))
    assert settings.report_fields == ("waiting", "served_rate")
    assert config.names.parse_load_report(b"qps=9,queue=2") == [2.0, 9.0], "named as on the sockets"
    assert config.names.zones == {"a": 0, "b": 1} and config.names.tenants == {"acme": 0}


def test_the_example_has_members_and_all_effects() -> None:
    config = read_file(str(ROOT / "deploy" / "kiosk.toml"))
    assert [cls.effect for cls in config.settings.classes] == [SAFE, KEYED, UNSAFE]
    assert config.known is not None and len(config.known["instances"]) == 2
    assert config.listen is None and config.discovery is None


def test_without_a_seed_each_start_uses_a_new_one(tmp_path: Path) -> None:
    path = write_file(tmp_path, "[deployment]\n" + CLASS)
    assert read_file(path).seed != read_file(path).seed


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("[deploiment]", "unknown field `deploiment`"),
        ("[deployment]\nlisten_on = 1", "deployment: Object contains unknown field `listen_on`"),
        ("[deployment]" + CLASS + "sice = 1", "classes[0]: Object contains unknown field `sice`"),
        ("[deployment]\nsockets = '9'" + CLASS, "deployment.sockets: Expected `int`, got `str`"),
        ("[deployment]\nsockets = 63" + CLASS, "deployment.sockets: Expected `int` >= 64"),
        ("[deployment]\nmax_attempts = 0" + CLASS, "deployment.max_attempts: Expected `int` >= 1"),
        ("[deployment]\ndrain_grace_ms = 501" + CLASS, "deployment.drain_grace_ms: Expected `int` <= 500"),
        ("[deployment]\ncold_share = 0.0" + CLASS, "deployment.cold_share: Expected `float` > 0.0"),
        ("[deployment]\nseed = 'xyz'" + CLASS, "deployment.seed: Expected `str` matching regex"),
        ("[deployment]\nreports = ['load']" + CLASS, "deployment.reports[0]: expected one of inflight"),
        ("[deployment]\nlisten = 'nowhere'" + CLASS, "deployment.listen: expected host:port, got 'nowhere'"),
        ("[deployment]\nzone = 'a'" + CLASS, "deployment.zone: expected one of zones"),
        ("[deployment]\ntier = 1" + CLASS, "deployment.tier: expected less than tiers"),
        ("[deployment]", "deployment: Object missing required field `classes`"),
        ("[deployment]\nclasses = []", "deployment.classes: Expected `array` of length >= 1"),
        ("[deployment]" + CLASS + CLASS, "deployment.classes: expected each name once"),
        ("[deployment]" + CLASS.replace("500", "5000"), "expected aim_ms no longer than deadline_ms"),
        ("[deployment]" + CLASS.replace("safe", "keyed"), "expected window_ms above 0 for a keyed class"),
        ("[deployment]" + CLASS.replace('"safe"', '"none"'), "expected one of safe, keyed, unsafe, got"),
        ("[deployment]" + CLASS.replace('"view"', '"vi/ew"'), "name: Expected `str` matching regex"),
        (
            "[deployment]\ndiscovery = '127.0.0.1:1'" + CLASS
            + "[[deployment.members]]\nid = 's'\naddress = '127.0.0.1:2'",
            "deployment.members: expected none where discovery is named",
        ),
        (
            "[deployment]" + CLASS + "[[deployment.members]]\nid = 's'\naddress = 'x'",
            "deployment.members: s: expected host:port, got 'x'",
        ),
        ("[deployment", "TOMLDecodeError"),
    ],
)  # fmt: skip
def test_an_invalid_file_is_one_line_that_names_file_and_key(
    tmp_path: Path, capfd: pytest.CaptureFixture[str], text: str, expected: str
) -> None:
    path = write_file(tmp_path, text)
    with pytest.raises(ConfigError) as error:
        read_operator(path)
    assert str(error.value).startswith(f"{path}: ") and expected in str(error.value)
    assert main(["check", path]) == 2
    out, errors = capfd.readouterr()
    assert not out and errors.count("\n") == 1 and expected in errors


def platform_json(**changes: Any) -> str:
    raw = {"listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "seed": "1", "settings": SETTINGS}
    return json.dumps({**raw, **changes})


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("{", "JSONDecodeError"),
        ("[]", "TypeError"),
        (platform_json(settings={}), "settings.classes: expected at least one class"),
        (platform_json(listen="nowhere"), "config.json: expected host:port, got 'nowhere'"),
        (
            platform_json(known={"generation": 1, "instances": 1}),
            "known: expected a generation and a list of endpoints",
        ),
        (platform_json(seed="xyz"), "ValueError"),
    ],
)
def test_the_check_command_also_validates_the_platforms_format(
    tmp_path: Path, capfd: pytest.CaptureFixture[str], text: str, expected: str
) -> None:
    path = write_file(tmp_path, text, "config.json")
    good = write_file(tmp_path, platform_json(), "good.json")
    assert main(["check", good, path]) == 2
    out, errors = capfd.readouterr()
    assert out == f"{good}: ok\n" and errors.count("\n") == 1 and path in errors and expected in errors
    with pytest.raises(ConfigError):
        Client.open(path)


def test_a_daemon_requires_listen_and_discovery(tmp_path: Path) -> None:
    path = write_file(tmp_path, "[deployment]\n" + CLASS)
    with pytest.raises(ConfigError, match=r"deployment\.listen: expected host:port for a daemon"):
        read_config({"LB_OPERATOR": path})
    path = write_file(tmp_path, platform_json(discovery=None), "config.json")
    with pytest.raises(ConfigError, match="discovery is missing: expected host:port"):
        read_platform({"LB_CONFIG": path})
    assert read_platform({"LB_CONFIG": path, "LB_DISCOVERY": "127.0.0.1:9"}).discovery == "127.0.0.1:9"


def test_a_deployment_table_is_rejected_on_the_platform(tmp_path: Path) -> None:
    json_path = write_file(tmp_path, platform_json(), "config.json")
    path = write_file(tmp_path, "[deployment]\n" + CLASS)
    with pytest.raises(ConfigError, match="deployment: expected none where LB_CONFIG is set"):
        read_config({"LB_OPERATOR": path, "LB_CONFIG": json_path})
    path = write_file(tmp_path, "# nothing is on\n")
    assert read_config({"LB_OPERATOR": path, "LB_CONFIG": json_path}).listen == ("127.0.0.1", 1)


def test_the_shipped_file_switches_nothing_on() -> None:
    assert read_operator(str(ROOT / "deploy" / "operator.toml")) == OperatorFile()


def test_the_shipped_file_shows_every_key_with_its_default() -> None:
    """With its lines uncommented, the file is valid, contains every key and changes no default."""
    lines = (ROOT / "deploy" / "operator.toml").read_text().splitlines()
    _, _, rest = "\n".join(lines).partition("# [deployment]")
    uncommented = re.sub(r"^# ?", "", "# [deployment]" + rest, flags=re.M)
    text = "\n".join(line for line in uncommented.splitlines() if re.match(r"\[|[a-z_]+ = ", line))
    tables = tomllib.loads(text)
    raw = tables["deployment"]
    from laurelstep.settings import operator

    for table, shown in (
        (operator.Deployment, raw),
        (operator.RequestClass, raw["classes"][0]),
        (operator.Tenant, raw["tenants"][0]),
        (operator.Member, raw["members"][0]),
        (operator.OrdersTable, tables["orders"]),
        (operator.RecordedClass, tables["orders"]["classes"][0]),
        (operator.WorkersTable, tables["workers"]),
        (operator.AccordTable, tables["accord"]),
        (operator.MaintenanceTable, tables["upkeep"]),
    ):
        fields = {name: getattr(table, name, None) for name in table.__struct_fields__}
        missing = set(fields) - set(shown)
        assert not missing, f"{table.__name__}: {missing} is not shown"
    assert operator.AccordTable(**{k: v for k, v in tables["accord"].items() if k in SHOWN}) == AccordTable()
    assert operator.MaintenanceTable(**tables["upkeep"]) == operator.MaintenanceTable()
    defaults = operator.Deployment(classes=())
    for key, value in raw.items():
        if key not in ("listen", "discovery", "seed", "classes", "tenants", "members"):
            default = getattr(defaults, key)
            assert (list(default) if isinstance(default, tuple) else default) == value, key


# --- Consensus and the subsystems that depend on it ---------------------------------------

PEERS = ("127.0.0.1:7946", "127.0.0.1:7947", "127.0.0.1:7948")
ACCORD = "[accord]\npeers = ['127.0.0.1:7946', '127.0.0.1:7947', '127.0.0.1:7948']\n"
UNIX = "[accord]\nlink = 'unix'\npeers = ['/run/a', '/run/b', '/run/c']\n"


def test_the_operators_file_configures_consensus_and_maintenance(tmp_path: Path) -> None:
    text = (
        "[deployment]\ncopy = 1\ncopies = 3\n"
        + CLASS
        + ACCORD
        + "heartbeat_ms = 100\n[upkeep]\nlearn_ms = 70"
    )
    config = read_file(write_file(tmp_path, text))
    assert config.accord == ConsensusSettings(PEERS, PEERS[1], 1, seats=3, heartbeat_us=100_000)
    assert config.maintenance == MaintenanceSettings(learn_us=70_000)
    unix = read_file(write_file(tmp_path, "[deployment]\n" + CLASS + UNIX + "me = 2\nseats = 1"))
    assert unix.accord == ConsensusSettings(("/run/a", "/run/b", "/run/c"), "/run/c", 2, "unix")
    assert unix.maintenance is None


def test_without_their_tables_consensus_and_maintenance_are_off(tmp_path: Path) -> None:
    config = read_file(write_file(tmp_path, "[deployment]\n" + CLASS))
    assert config.accord is None and config.maintenance is None


@pytest.mark.parametrize(("peers", "seats"), [(1, 1), (2, 1), (3, 3), (4, 3), (5, 5), (6, 5), (200, 5)])
def test_the_default_number_of_seats(peers: int, seats: int) -> None:
    assert default_voter_count(peers) == seats


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("[upkeep]", "upkeep: expected the table [accord]"),
        (ACCORD + "[workers]\nprocesses = 2", "workers: expected no [accord]: each process would need"),
        (ACCORD + "me = 3", "accord.me: expected less than 3, the number of peers, got 3"),
        (ACCORD + "me = -1", "accord.me: Expected `int` >= 0"),
        (ACCORD + "seats = 2", "accord.seats: expected one of 1, 3, 5, 7, got 2"),
        (ACCORD + "seats = 0", "accord.seats: expected one of 1, 3, 5, 7, got 0"),
        (ACCORD + "seats = 5", "accord.seats: expected at most 3, the number of peers, got 5"),
        (ACCORD + "link = 'tcp'", "accord.link: expected one of udp, unix, got 'tcp'"),
        (ACCORD + "drift = 0.5", "accord.drift: Expected `float` <= 0.2"),
        (ACCORD + "heartbeat_ms = 9", "accord.heartbeat_ms: Expected `int` >= 10"),
        (ACCORD + "heartbeat_ms = 301", "accord.election_ms: expected at least twice heartbeat_ms"),
        (ACCORD + "lasts = true", "accord: Object contains unknown field `lasts`"),
        (ACCORD + "peer_listen = 'here:1'", "accord.peer_listen: expected an IP address and a port"),
        (ACCORD.replace("7947", "0"), "expected an IP address and a port, for example 10.0.0.4:7946"),
        (ACCORD.replace("127.0.0.1:7947", "far"), "accord.peers: expected an IP address and a port"),
        (ACCORD.replace("7947", "7946"), "accord.peers: expected each address once"),
        (ACCORD.replace("127.0.0.1:7947", "[::1]:7947"), "accord.peers: expected addresses of one family"),
        ("[accord]", "accord.peers: expected the addresses of all copies"),
        ("[accord]\npeers = []", "accord.peers: expected the addresses of all copies"),
        (UNIX + "peer_listen = '/run/d'", "accord.peer_listen: expected one of peers, got '/run/d'"),
        (UNIX + "peer_listen = '/run/b'", "accord.peer_listen: expected peers[me], '/run/a', got '/run/b'"),
        (UNIX.replace("/run/b", "b"), "accord.peers: expected an absolute path of up to 107 bytes, got 'b'"),
        (UNIX.replace("/run/b", "/" + 107 * "b"), "accord.peers: expected an absolute path"),
        (ACCORD + "[upkeep]\noverdue_s = 0", "upkeep.overdue_s: Expected `int` >= 1"),
        (ACCORD + "[upkeep]\nstart_alone = 'ask'", "upkeep.start_alone: expected one of wait, serve, got"),
    ],
)  # fmt: skip
def test_invalid_consensus_and_maintenance_tables_are_one_line(
    tmp_path: Path, capfd: pytest.CaptureFixture[str], text: str, expected: str
) -> None:
    path = write_file(tmp_path, "[deployment]\nlisten = '127.0.0.1:7070'\n" + CLASS + text)
    assert main(["check", path]) == 2
    out, errors = capfd.readouterr()
    assert not out and errors.count("\n") == 1 and path in errors and expected in errors
    with pytest.raises(ConfigError):
        read_config({"LB_OPERATOR": path})


def extended_accord(folder: Path, text: str, **changes: Any) -> ConsensusSettings | None:
    """The consensus settings from this operator's file and a platform's file with `changes` to its peers."""
    peer_keys = {"peer_listen": "127.0.0.1:9", "peers": list(PEERS), **changes}
    raw = {"settings": {**SETTINGS, "me": 2}, **peer_keys}
    json_path = write_file(folder, platform_json(**raw), "config.json")
    return read_config({"LB_OPERATOR": write_file(folder, text), "LB_CONFIG": json_path}).accord


def test_on_the_platform_the_peers_come_from_its_file(tmp_path: Path) -> None:
    accord = extended_accord(tmp_path, "[accord]\nseats = 1")
    # Behind a relay, the other copies see it at another address than the one it binds.
    assert accord == ConsensusSettings(PEERS, "127.0.0.1:9", 2)
    for key, value in (("peers", None), ("peers", []), ("peer_listen", None)):
        without_peers = extended_accord(tmp_path, "[accord]", **{key: value})
        assert without_peers is not None and not without_peers.has_peers
    unix = extended_accord(tmp_path, UNIX)
    assert unix is not None and (unix.listen, unix.me) == ("/run/c", 2)
    assert extended_accord(tmp_path, "") is None, "the platform sets peers, but consensus is not switched on"


@pytest.mark.parametrize(
    ("text", "changes", "expected"),
    [
        ("[accord]\nme = 2", {}, "operator.toml: accord.me: expected none where LB_CONFIG is set"),
        (ACCORD, {}, "operator.toml: accord.peers: expected none where LB_CONFIG is set"),
        ("[accord]\npeer_listen = '127.0.0.1:9'", {}, "accord.peer_listen: expected none where LB"),
        ("[accord]\nseats = 5", {}, "operator.toml: accord.seats: expected at most 3"),
        ("[accord]\nlink = 'unix'", {}, "operator.toml: accord.peers: expected the paths of all copies"),
        ("[accord]", {"peers": ["127.0.0.1:1"]}, "config.json: me: expected less than 1"),
        ("[accord]", {"peers": [1]}, "config.json: peers: expected a list of addresses"),
        ("[accord]", {"peers": "127.0.0.1:1"}, "config.json: peers: expected a list of addresses"),
        ("[accord]", {"peers": ["a", "b", "c"]}, "config.json: peers: expected an IP address"),
        ("[accord]", {"peer_listen": "here"}, "config.json: peer_listen: expected an IP address"),
        ("[accord]", {"peer_listen": 7}, "config.json: peer_listen: expected host:port, got 7"),
    ],
)  # fmt: skip
def test_conflicts_of_platform_and_operator_are_one_line(
    tmp_path: Path, text: str, changes: dict[str, Any], expected: str
) -> None:
    with pytest.raises(ConfigError) as error:
        extended_accord(tmp_path, text, **changes)
    assert expected in str(error.value) and "\n" not in str(error.value)


def test_the_library_rejects_consensus(tmp_path: Path) -> None:
    path = write_file(tmp_path, "[deployment]\n" + CLASS + ACCORD)
    with pytest.raises(ConfigError, match="accord: expected none for the library"):
        Client.open(path)
