"""The module of the project's constants."""

import ast
import collections
import pathlib

from limpetlift import defaults


def test_no_constant_is_assigned_twice():
    """A second assignment silently changes the value for all users.

    Membership took the threshold for pauses that was meant for agents.
    """
    tree = ast.parse(pathlib.Path(defaults.__file__).read_text("utf-8"))
    counts = collections.Counter(
        target.id
        for node in ast.walk(tree)
        if isinstance(node, ast.Assign)
        for target in node.targets
        if isinstance(target, ast.Name)
    )
    assert [name for name, count in counts.items() if count > 1] == []
