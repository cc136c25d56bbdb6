"""Reading and checking the settings of a process."""

import pathlib

import pytest

from limpetlift import exceptions
from limpetlift.state import checks
from limpetlift.state import config
from limpetlift.state import settings

_VALID = """
seeds = ["10.0.0.1:6000"]
[node]
id = "balancer-1"
ip = "10.0.0.1"
port = 6000
data_centre = "curepipe"
[admin]
port = 6001
[security]
keys = ["00112233445566778899aabbccddeeff"]
"""


def _load_problems(tmp_path, text):
    path = tmp_path / "p.toml"
    path.write_text(text, encoding="utf-8")
    with pytest.raises(exceptions.SettingsError) as caught:
        settings.load(path)
    return caught.value.problems


def test_valid_settings_have_defaults(tmp_path):
    """A file with only the required settings must be accepted."""
    path = tmp_path / "p.toml"
    path.write_text(_VALID, encoding="utf-8")
    loaded = settings.load(path)
    assert loaded.security.secrets == [bytes(range(0, 256, 17))]
    assert (loaded.admin.ip, loaded.store.endpoints) == ("127.0.0.1", [])
    assert loaded.seeds == ["10.0.0.1:6000"] and loaded.agent is None


@pytest.mark.parametrize(
    "old, new, parts",
    [
        ('"10.0.0.1:6000"', '"10.0.0.1"', ("seeds", '"ip:port"')),
        ("port = 6000", "port = 70000", ("node.port", "1 to 65535")),
        ('ip = "10.0.0.1"', 'ip = "::1"', ("node.ip", "an IPv4 address")),
        ('data_centre = "curepipe"', "", ("node.data_centre", "nothing")),
        ("00112233", "0011", ("security.keys", "16 to 64 bytes")),
        ("[admin]", '[admin]\nip = "10.0.0.1"', ("admin.token", "a token")),
        ("port = 6001", "ports = 6001", ("admin.ports", "unknown key")),
        ("seeds", "seed", ("seed", "one of seeds")),
        ("[admin]", '[log]\nlevel = "all"\n[admin]', ("log.level", "debug")),
        ("[admin]", "[agent]\n[admin]", ("agent.backend", "nothing")),
        ("6000\n", "6000\nx = \n", ("TOML syntax error", "line 7")),
        (
            "[admin]",
            '[config]\nfolder="x"\n[store]\nendpoints=["1.1.1.1:1"]\n[admin]',
            ("config.folder", "only one"),
        ),
    ],
)
def test_each_problem_names_its_place(tmp_path, old, new, parts):
    """An invalid, missing or misspelt setting must be reported by key path.

    A process that ignored it would run with another value than the file's.
    """
    lines = _load_problems(tmp_path, _VALID.replace(old, new, 1))
    assert any(all(part in line for part in parts) for line in lines), lines


def test_problems_of_several_tables_are_reported_together(tmp_path):
    """All problems of a file must be reported together.

    An operator would otherwise find them one start at a time.
    """
    assert len(_load_problems(tmp_path, "x = 1\n[node]\nport = 0\n")) == 7


def test_every_setting_is_documented():
    """Each setting must have its row in the documentation."""
    page = pathlib.Path(__file__).parent.parent / "docs" / "configuration.md"
    text = page.read_text(encoding="utf-8")
    tables = [config.Service, config.Rollout, settings.TopLevel]
    for cls in [*tables, *settings.CLASSES_BY_TABLE.values()]:
        for field in checks.settings_of(cls):
            assert "\n| `%s` | " % field.name in text, field.name
