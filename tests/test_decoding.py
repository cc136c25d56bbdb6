"""Decoders of bytes from outside, with malformed inputs."""

import decoderfuzz
import pytest


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_malformed_inputs_raise_only_the_error_of_the_layer(seed):
    """Callers of a decoder handle the errors of its layer only.

    Any other exception would end a task or leave a request unanswered.
    """
    assert decoderfuzz.run(7_000, seed)
