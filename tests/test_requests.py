"""Request table of an agent: admission and claims of keys together."""

import random

import attrs

from limpetlift import defaults
from limpetlift.state import actions
from limpetlift.state import admission
from limpetlift.state import requests


@attrs.define
class _Claims:
    """Claims that grant the first request of a key and let others wait.

    :param deny: code with which all requests are denied, or empty.
    """

    holder_by_key: dict = attrs.field(factory=dict)
    waiting_by_key: dict = attrs.field(factory=dict)
    deny: str = ""

    def is_claimed(self, now, key):
        return key in self.holder_by_key

    def on_request(self, now, key, request_id, deadline, first_attempt):
        if self.deny:
            return [actions.Denied(request_id, self.deny)]
        if key in self.holder_by_key:
            self.waiting_by_key.setdefault(key, []).append(request_id)
            return [actions.Wait(request_id)]
        self.holder_by_key[key] = request_id
        return [actions.Granted(request_id)]

    def on_done(self, now, key, answer):
        waiting = self.waiting_by_key.pop(key, [])
        return [actions.Replay(request_id, answer) for request_id in waiting]

    def on_cancel(self, now, request_id):
        return []

    def tick(self, now):
        return []


def _table(slots=1):
    queue = admission.AdmissionQueue(slots, random.Random(1))
    return requests.RequestTable(queue, _Claims())


def test_repeated_key_takes_no_slot_and_gets_the_same_answer():
    """A retry must not run or hold a slot while the first attempt runs.

    It must get the answer of the first attempt when that is complete.
    """
    table = _table(slots=2)
    assert table.on_request(0.0, "a", 9.0, key="k") == [actions.Admit("a")]
    assert table.on_request(0.1, "b", 9.0, key="k") == []
    assert table.queue.busy_slots == 1
    answer = actions.Answer(200, (), b"done")
    results = table.on_answered(1.0, "a", 1.0, answer)
    assert results == [actions.Replay("b", answer)]
    assert len(table) == 0


def test_repeated_key_waits_while_the_first_one_is_queued():
    """Two queued requests with the same key must not both get a slot.

    A key is claimed only after admission, so the claims do not know it yet.
    """
    table = _table()
    table.on_request(0.0, "long", 9.0)
    table.on_request(0.0, "a", 9.0, key="k")
    table.on_request(0.0, "b", 9.0, key="k")
    results = table.on_answered(1.0, "long", 1.0, None)
    assert results == [actions.Admit("a")]
    assert table.queue.busy_slots == 1
    results = table.on_answered(2.0, "a", 1.0, None)
    assert results == [actions.Replay("b", None)]


def test_denied_claim_frees_the_slot():
    """A request whose claim is denied must not keep its slot.

    The slot is taken before the key is claimed.
    """
    table = _table()
    table.claims.deny = "no_quorum"
    results = table.on_request(0.0, "a", 9.0, key="k")
    assert results == [actions.Refused("a", "no_quorum")]
    assert table.queue.busy_slots == 0


def test_cancelled_leader_refuses_its_followers():
    """A waiting retry must be refused when the first attempt is cancelled.

    Otherwise nothing would end it. It must not run after the refusal either,
    which says that it was not run.
    """
    table = _table()
    table.on_request(0.0, "long", 9.0)
    table.on_request(0.0, "a", 9.0, key="k")
    table.on_request(0.0, "b", 9.0, key="k")
    results = table.on_cancel(0.5, "a")
    assert results == [actions.Refused("b", "claim_conflict")]
    assert table.on_answered(1.0, "long", 1.0, None) == []


def test_a_request_that_waited_too_long_does_not_claim_its_key():
    """A request that waited too long for a slot must not claim its key.

    The votes for an earlier attempt may have expired by then, so that the key
    could be granted again.
    """
    table = _table()
    table.on_request(0.0, "long", 99.0)
    table.on_request(0.0, "a", 99.0, key="k")
    late = defaults.CLAIM_MAX_REQUEST_AGE_S + 1.0
    results = table.on_answered(late, "long", 1.0, None)
    assert results == [actions.Refused("a", "deadline_passed")]
    assert table.queue.busy_slots == 0


def test_keys_have_no_effect_without_claims():
    """A table without claims must accept a repeated key.

    Both requests run, and nothing may call the missing claims.
    """
    queue = admission.AdmissionQueue(2, random.Random(1))
    table = requests.RequestTable(queue)
    assert table.on_request(0.0, "a", 9.0, key="k") == [actions.Admit("a")]
    assert table.on_request(0.1, "b", 9.0, key="k") == [actions.Admit("b")]
    assert table.on_answered(1.0, "a", 1.0, None) == []
