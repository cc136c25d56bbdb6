"""Tests of the directory of agents and balancers."""

import json

import pytest
import segmentkit as kit

from limpetlift.coordination import directory
from limpetlift.coordination import entries
from limpetlift import defaults
from limpetlift import exceptions


def _store_entry(number, revision):
    entry = kit.agent(number)
    return entries.Entry(
        directory.AGENTS_PREFIX + entry.process_id, entry.encode(), revision
    )


def _key(number):
    return directory.AGENTS_PREFIX + kit.agent(number).process_id


def _removed(number, revision):
    return entries.Change(_key(number), None, revision)


def _agent_ids(agents_directory):
    return sorted(entry.process_id for entry in agents_directory.agents())


def _never_reporting(_entry):
    return False


def _always_reporting(_entry):
    return True


def test_entries_are_followed():
    """An agent that registers after the snapshot must be listed too."""
    agents_directory = directory.Directory()
    agents_directory.on_snapshot(0.0, [_store_entry(1, 5)], 5)
    added = _store_entry(2, 6)
    agents_directory.on_changes(1.0, [entries.Change(added.key, added, 6)])
    assert _agent_ids(agents_directory) == ["agent-1", "agent-2"]
    assert agents_directory.agents()[0] == kit.agent(1)


def test_an_unreadable_entry_is_left_out():
    """An entry with invalid bytes must not hide the valid entries."""
    agents_directory = directory.Directory()
    agents_directory.on_snapshot(
        0.0,
        [entries.Entry(_key(2), b"\xff{", 6), _store_entry(1, 5)]
        + [entries.Entry(_key(3), b'{"address": 7}', 7)],
        7,
    )
    assert _agent_ids(agents_directory) == ["agent-1"]
    assert set(agents_directory.unreadable_by_key) == {_key(2), _key(3)}


def test_an_older_page_does_not_undo_a_change():
    """A removed entry must not come back from a page that was read before.

    The pages of a read are no snapshot: a change that was reported meanwhile
    may be newer than the page.
    """
    agents_directory = directory.Directory()
    agents_directory.on_changes(
        0.0, [entries.Change(_key(1), _store_entry(1, 9), 9)]
    )
    agents_directory.on_changes(0.1, [_removed(1, 10)])
    agents_directory.on_snapshot(0.2, [_store_entry(1, 9)], 9)
    assert not agents_directory.is_listed(_key(1))


def test_an_older_read_does_not_remove_a_newer_entry():
    """An agent must stay listed that registered after a read of the store.

    Its entry would not come back, because the agent does not write it again.
    """
    agents_directory = directory.Directory()
    added = _store_entry(1, 9)
    agents_directory.on_changes(0.0, [entries.Change(added.key, added, 9)])
    agents_directory.on_snapshot(0.1, [], 8)
    assert agents_directory.is_listed(_key(1))
    agents_directory.on_snapshot(0.2, [], 9)
    assert not agents_directory.is_listed(_key(1))


def test_a_removed_entry_stays_for_its_grace_time():
    """An entry that the store lost must not disappear at once.

    A process that is alive needs up to 2 s to register again.
    """
    agents_directory = directory.Directory()
    agents_directory.on_snapshot(0.0, [_store_entry(1, 5)], 5)
    later = 10.0
    agents_directory.on_changes(later, [_removed(1, 6)])
    assert not agents_directory.expire(later + 1.9, _never_reporting)
    assert _agent_ids(agents_directory) == ["agent-1"]
    assert agents_directory.expire(
        later + defaults.LAPSED_ENTRY_GRACE_S, _never_reporting
    )
    assert not _agent_ids(agents_directory)


def test_an_entry_that_is_registered_again_stays():
    """An entry must not expire after its process has registered again."""
    agents_directory = directory.Directory()
    agents_directory.on_snapshot(0.0, [_store_entry(1, 5)], 5)
    agents_directory.on_changes(10.0, [_removed(1, 6)])
    agents_directory.on_changes(
        11.0, [entries.Change(_key(1), _store_entry(1, 7), 7)]
    )
    assert not agents_directory.expire(20.0, _never_reporting)
    assert agents_directory.is_listed(_key(1))


def test_a_reporting_agent_stays_after_the_store_lost_its_entry():
    """An agent that still reports must stay in the directory.

    The store may delete its entry and refuse to register it again.
    """
    agents_directory = directory.Directory()
    agents_directory.on_snapshot(0.0, [_store_entry(1, 5)], 5)
    agents_directory.on_changes(10.0, [_removed(1, 6)])
    assert not agents_directory.expire(20.0, _always_reporting)
    assert agents_directory.unlisted() == {"agent-1"}


def test_an_entry_missing_after_an_outage_expires():
    """An entry must expire if it is missing 2 s after a store outage.

    It must expire even though the process reports.
    """
    agents_directory = directory.Directory()
    agents_directory.on_snapshot(0.0, [_store_entry(1, 5)], 5)
    agents_directory.on_unreachable()
    agents_directory.on_snapshot(10.0, [], 10)
    assert not agents_directory.expire(11.9, _always_reporting)
    assert agents_directory.expire(
        10.0 + defaults.LAPSED_ENTRY_GRACE_S, _always_reporting
    )


@pytest.mark.parametrize(
    "change",
    [
        {"data_centre": "\ud800"},
        {"service": "\ud800"},
        {"address": "10.0.0.1:\uff18\uff10"},
        {"address": "10.0.0.1:7_0"},
        {"address": "10.0.0.1: 70"},
        {"address": "10.0.0.1:99999"},
        {"address": "10.0.0.1:" + "9" * 5000},
        {"address": "0.0.0.0:70"},
        {"address": "224.0.0.1:70"},
        {"address": "255.255.255.255:70"},
    ],
)
def test_an_odd_entry_names_no_process(change):
    """An entry of another writer must not be sent to, nor end the list."""
    fields = json.loads(kit.agent(1).encode())
    fields.update(change)
    with pytest.raises(exceptions.MalformedMessage):
        directory.decode_entry("agent-1", json.dumps(fields))


@pytest.mark.parametrize(
    "value",
    [
        b"[" * 100_000,
        b'{"address":' * 50_000,
        b'{"address": "10.0.0.1:70", "data_centre": "a", "service": 1e999}',
        b"9" * 10_000,
    ],
)
def test_a_deep_or_large_entry_names_no_process(value):
    """Decoding an entry must not end the process that reads the list."""
    with pytest.raises(exceptions.MalformedMessage):
        directory.decode_entry("agent-1", value)


def test_an_entry_with_an_odd_key_names_no_process():
    """An id that cannot be encoded must not stop a balancer from following.

    The balancer failed after the directory had accepted the entry.
    """
    agents_directory = directory.Directory()
    key = directory.AGENTS_PREFIX + "\ud800"
    entry = entries.Entry(key, kit.agent(2).encode(), 6)
    agents_directory.on_snapshot(0.0, [entry, _store_entry(1, 5)], 6)
    assert _agent_ids(agents_directory) == ["agent-1"]
    assert set(agents_directory.unreadable_by_key) == {key}


def test_an_agent_whose_entry_was_overwritten_stays():
    """An agent must not be left out of proofs because of another writer.

    Its entry counts as missing, so that it is told and writes it again.
    """
    agents_directory = directory.Directory()
    agents_directory.on_snapshot(0.0, [_store_entry(1, 5)], 5)
    odd = entries.Entry(_key(1), b"{", 6)
    agents_directory.on_changes(10.0, [entries.Change(odd.key, odd, 6)])
    agents_directory.on_snapshot(10.5, [odd], 6)
    assert agents_directory.unlisted() == {"agent-1"}
    assert not agents_directory.expire(20.0, _always_reporting)
    assert _agent_ids(agents_directory) == ["agent-1"]
    agents_directory.on_changes(
        21.0, [entries.Change(_key(1), _store_entry(1, 7), 7)]
    )
    assert agents_directory.is_listed(_key(1))


def test_an_agent_that_another_balancer_keeps_stays_while_it_reports():
    """A balancer must not lose it with the next list of the store."""
    agents_directory = directory.Directory()
    agents_directory.on_snapshot(10.0, [_store_entry(1, 5)], 5)
    agents_directory.add_unlisted(10.1, kit.agent(2))
    agents_directory.on_snapshot(10.2, [_store_entry(1, 5)], 6)
    assert agents_directory.unlisted() == {"agent-2"}
    assert not agents_directory.expire(20.0, _always_reporting)
    assert _agent_ids(agents_directory) == ["agent-1", "agent-2"]
    agents_directory.add_unlisted(20.0, kit.agent(1))
    assert agents_directory.unlisted() == {"agent-2"}
    assert agents_directory.expire(20.0, _never_reporting)
    assert _agent_ids(agents_directory) == ["agent-1"]


def test_an_older_read_does_not_bring_back_an_entry_that_expired():
    """A removed entry must not come back from a read that began before.

    The read was answered late, or waited through a pause of the balancer.
    The watch has passed the removal, so the agent stayed for good: searches
    waited for it, and flows were placed there when all others were silent.
    """
    agents_directory = directory.Directory()
    agents_directory.on_snapshot(0.0, [_store_entry(1, 5)], 5)
    agents_directory.on_changes(10.0, [_removed(1, 8)])
    assert agents_directory.expire(12.1, _never_reporting)
    agents_directory.on_snapshot(12.2, [_store_entry(1, 5)], 7)
    assert not _agent_ids(agents_directory)
