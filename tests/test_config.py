"""Reading, checking and merging the operators' configuration."""

import hypothesis
from hypothesis import strategies
import pytest

from limpetlift import exceptions
from limpetlift.state import config
from limpetlift.state import merge

_SETTINGS = hypothesis.settings(derandomize=True, deadline=None)

# Few keys and values, so that the changes of two operators often overlap.
_TREES = strategies.recursive(
    strategies.sampled_from([1, 2, True, 1.0, "x", []]),
    lambda inner: strategies.dictionaries(
        strategies.sampled_from("abc"), inner, max_size=3
    ),
    max_leaves=6,
).filter(lambda value: isinstance(value, dict))


def _folder(path, **texts_by_name):
    for name, text in texts_by_name.items():
        (path / (name[1:] + ".toml")).write_text(text, encoding="utf-8")
    return path


def test_later_files_refine_earlier_ones(tmp_path):
    """A value of a later file must replace that of an earlier file.

    The file that the value comes from must be recorded.
    """
    _folder(
        tmp_path,
        _10="[services.desk]\nslots = 3",
        _00='[services.desk]\naddress = "1.1.1.1:1"\nslots = 2\n',
    )
    document, problems = config.load_document(tmp_path)
    desk = config.load_folder(tmp_path).services_by_name["desk"]
    assert not problems
    assert (desk.address, desk.slots, desk.max_flows) == ("1.1.1.1:1", 3, 2000)
    files = document.files_by_path
    assert files["services", "desk", "slots"] == "10.toml"
    assert files["services", "desk", "address"] == "00.toml"


def test_all_problems_are_reported_at_once(tmp_path):
    """All problems of a folder must be reported together.

    Each line names file, key path, what was found and what was expected.
    """
    _folder(
        tmp_path,
        _00='[services.a]\naddress = "1.1.1.1:1"\nslots = true\nfoo = 1\n',
        _10='[services.b]\naddress = "1.1.1.1:1"\nflow_idle_s = -1\n'
        'rollout = "x"\nreset_payload = "0g"\n[services.A]\n',
        _20="[services.a]\nslots =\n",
        _30='services = 1\n[other]\nx = "\u00fc"\n',
    )
    with pytest.raises(exceptions.SettingsError) as caught:
        config.load_folder(tmp_path)
    lines = caught.value.problems
    expected = [
        ("20.toml", "TOML syntax error", "line 2"),
        ("30.toml", "services", "a table as in "),
        ("30.toml", "other", "one of rollouts, services"),
        ("10.toml", "services.A", "a name of 1 to 63"),
        ("10.toml", "services.A.address", "found nothing"),
        ("00.toml", "services.a.foo", "unknown key"),
        ("00.toml", "services.a.slots", "found true, expected an integer"),
        ("10.toml", "services.b.address", "the address of service a"),
        ("10.toml", "services.b.flow_idle_s", "found -1, expected a number"),
        ("10.toml", "services.b.reset_payload", "hexadecimal"),
        ("10.toml", "services.b.rollout", "one of the rollouts"),
    ]
    assert len(lines) == len(expected)
    for parts, line in zip(expected, lines):
        assert all(part in line for part in parts), line


@pytest.mark.parametrize(
    "value",
    ["0", "1025", "2.0", '"2"', "true", "[1]", "nan", "1979-05-27", "{}"],
)
def test_a_value_of_another_type_or_range_is_rejected(tmp_path, value):
    """A value must not be converted silently to the type of its setting.

    For example, "2" or true must not be accepted as a number.
    """
    _folder(
        tmp_path, _0='[services.a]\naddress="1.1.1.1:1"\nslots = %s' % value
    )
    _, (line,) = config.load_document(tmp_path)
    assert "services.a.slots" in line
    assert "expected an integer from 1 to 1024" in line


def test_folder_errors_name_the_file_and_line(tmp_path):
    """A folder or file that cannot be read must be reported as a problem.

    The exception of the TOML parser or the decoder does not name the file.
    """
    assert "expected one" in config.load_document(tmp_path / "x")[1][0]
    assert "no *.toml" in config.load_document(tmp_path)[1][0]
    (tmp_path / "a.toml").write_text("\nx =")
    assert "line 2" in config.load_document(tmp_path)[1][0]
    (tmp_path / "a.toml").write_bytes(b"x = 1\ny = '\xff'\n")
    assert "line 2" in config.load_document(tmp_path)[1][0]


def _rebuilt(values):
    """Return the tree that is made from the leaves of ``values``."""
    return merge.tree(
        {path: leaf for path, leaf in merge.leaves(values).items() if path}
    )


@_SETTINGS
@hypothesis.given(_TREES)
def test_leaves_and_tree_are_inverse(values):
    """A tree that is rebuilt from its leaves must not change."""
    assert _rebuilt(values) == values


@_SETTINGS
@hypothesis.given(_TREES, _TREES, _TREES)
def test_rebase_keeps_the_changes_of_both_or_names_the_overlap(
    base, mine, theirs
):
    """A merge must not lose a change of one of two operators silently."""
    result = merge.rebase(base, merge.Document(mine), merge.Document(theirs))
    if result.overlaps:
        assert result.document.values == theirs
        for path in result.overlaps:
            assert path in merge.changes(base, mine)
        return
    merged = merge.leaves(result.document.values)
    for changed in (mine, theirs):
        for path, (_, new) in merge.changes(base, changed).items():
            # The other side may have added settings to a table that this side
            # deleted or emptied.
            if new is None or new == {}:
                continue
            assert merged[path] == new and type(merged[path]) is type(new)
    untouched = set(merge.leaves(mine)) & set(merge.leaves(theirs))
    for path in untouched & set(merge.leaves(base)) - {()}:
        assert path in merged


@_SETTINGS
@hypothesis.given(_TREES, _TREES)
def test_rebase_without_changes_by_others_gives_my_values(base, mine):
    """Without changes by others, an apply must give exactly the folder."""
    result = merge.rebase(base, merge.Document(mine), merge.Document(base))
    assert not result.overlaps
    assert merge.leaves(result.document.values) == merge.leaves(mine)


def test_encoded_documents_round_trip(tmp_path):
    """A process must decode the document that the operator's command encoded.

    Bytes that are not a document must be rejected.
    """
    _folder(tmp_path, _0='[services.a]\naddress="1.1.1.1:1"\n[rollouts.r]')
    document, _ = config.load_document(tmp_path)
    assert config.decode_document(config.encode(document)) == document
    with pytest.raises(exceptions.SettingsError):
        config.decode(b'{"values": {}}', 1, "")
