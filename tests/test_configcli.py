"""Tests for ``limpetlift config`` with a stand-in for the store."""

import asyncio
import io
import json

import pytest

from limpetlift import configcli
from limpetlift.coordination import store
from limpetlift import exceptions
from limpetlift.testing import store as standin


def _folder(tmp_path, name, text):
    folder = tmp_path / name
    folder.mkdir(exist_ok=True)
    (folder / "10.toml").write_text(text, encoding="utf-8")
    return folder


def _service(name, number, **settings):
    lines = ["[services.%s]" % name, 'address = "1.1.1.1:%d"' % number]
    lines += ["%s = %s" % item for item in settings.items()]
    return "\n".join(lines) + "\n"


class _Operator:
    def __init__(self, state, fault=lambda path: ""):
        self.transport = standin.DirectTransport(state, fault=fault)
        self.store = store.Store(self.transport)

    def run(self, function, *arguments, **options):
        out = io.StringIO()
        coroutine = function(*arguments, self.store, out=out, **options)
        return asyncio.run(coroutine), out.getvalue()

    def apply(self, folder, **options):
        return self.run(configcli.apply, folder, sleep=_no_sleep, **options)


async def _no_sleep(_seconds):
    pass


def test_apply_keeps_settings_of_other_operators(tmp_path):
    """An apply must not remove settings that another operator has added.

    They are not in the folder of the first operator, which is older.
    """
    state = standin.StoreState()
    anna, ben = _Operator(state), _Operator(state)
    one = _folder(tmp_path, "one", _service("a", 1, slots=2))
    two = _folder(tmp_path, "two", _service("b", 2))
    assert anna.apply(one)[0] == ben.apply(two)[0] == configcli.OK
    one = _folder(tmp_path, "one", _service("a", 1, slots=4))
    code, text = anna.run(configcli.diff, one)
    assert "services.a.slots: 2 -> 4" in text and "services.b" not in text
    assert anna.apply(one)[0] == configcli.OK
    code, text = anna.run(configcli.show_current)
    assert "services.a.slots = 4  # 10.toml" in text
    assert 'services.b.address = "1.1.1.1:2"' in text
    # Service b has this address already: two valid folders can conflict.
    one = _folder(tmp_path, "one", _service("a", 2, slots=4))
    code, text = anna.apply(one)
    assert code == configcli.INVALID and "the address of service" in text
    code, text = anna.run(configcli.history)
    assert [line.split()[0] for line in text.splitlines()] == ["3", "2", "1"]


def test_conflicting_changes_are_reported(tmp_path):
    """An apply must not silently replace a change by another operator.

    It happens when both change the same setting from the same base.
    """
    state = standin.StoreState()
    anna, ben = _Operator(state), _Operator(state)
    one = _folder(tmp_path, "one", _service("a", 1, slots=2))
    two = _folder(tmp_path, "two", _service("a", 1, slots=3, max_flows=5))
    assert anna.apply(one)[0] == configcli.OK
    code, text = ben.apply(two)
    assert code == configcli.OVERLAP
    assert "services.a.slots: changed by another operator to 2" in text
    assert "nothing was applied" in text
    assert ben.apply(two, overwrite=True)[0] == configcli.OK
    code, text = anna.apply(one)
    assert code == configcli.OK and "unchanged" in text
    assert "not from this folder: services.a.slots = 3" in text


@pytest.mark.parametrize(
    "fault, code, word",
    [
        ("down", configcli.NOT_APPLIED, "nothing was applied"),
        ("lost", configcli.OK, "accepted as revision 1"),
        ("late", configcli.UNKNOWN, "unknown whether applied"),
    ],
)
def test_apply_reports_its_outcome(tmp_path, monkeypatch, fault, code, word):
    """A lost response leaves open whether the change was applied.

    It must be reported neither as a failure nor as a success, unless reading
    the store again resolves it.
    """
    monkeypatch.setattr(
        configcli.publication.defaults, "APPLY_RESOLVE_TIMEOUT_S", 0
    )
    if fault == "lost":
        monkeypatch.setattr(
            configcli.publication.defaults, "APPLY_RESOLVE_TIMEOUT_S", 60
        )
    calls = []

    def choose_fault(path):
        # Before the commit, the head is read and one chunk is written.
        calls.append(path)
        faulty = len(calls) > 2 and (fault != "lost" or len(calls) == 3)
        return fault if faulty else ""

    operator = _Operator(standin.StoreState(), choose_fault)
    folder = _folder(tmp_path, "one", _service("a", 1))
    found, text = operator.apply(folder)
    assert (found, word in text) == (code, True), text
    assert (folder / configcli.BASE_FILE).exists() == (code == configcli.OK)


def test_invalid_folder_is_shown_but_not_applied(tmp_path):
    """An invalid folder must neither pass the check nor reach the store.

    ``show`` still prints its settings, with the file of each. A damaged record
    of the last apply must be reported as well.
    """
    out = io.StringIO()
    folder = _folder(tmp_path, "one", _service("a", 1, slots=2))
    assert configcli.check(folder, out) == configcli.OK
    assert configcli.show(folder, out) == configcli.OK
    assert "services.a.slots = 2  # 10.toml" in out.getvalue()
    folder = _folder(tmp_path, "one", _service("a", 1, slots=0))
    assert configcli.check(folder, out) == configcli.INVALID
    assert configcli.show(folder, out) == configcli.INVALID
    state = standin.StoreState()
    assert _Operator(state).apply(folder)[0] == configcli.INVALID
    assert not state.values_by_key
    (folder / configcli.BASE_FILE).write_text(json.dumps("x")[:-1])
    folder = _folder(tmp_path, "one", _service("a", 1))
    with pytest.raises(exceptions.SettingsError):
        _Operator(state).apply(folder)
