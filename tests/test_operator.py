"""The operator file: what is understood, and one plain line for what is not."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from pydantic import ValidationError

from gullhold.__main__ import main
from gullhold.operator import records
from gullhold.operator.errors import OperatorFileError
from gullhold.operator.evaluation import concretize, evaluate_file
from gullhold.operator.parser import parse
from gullhold.operator.unification import unify


def test_an_empty_file_is_all_defaults_and_records_are_frozen():
    told = records.read("", "f.cue")
    assert not told.door.on
    assert told.door.redeal == 10_000_000
    assert told.door.client.networks == ()
    with pytest.raises(ValidationError):
        told.door.window = 3


def test_units_nesting_comments_definitions_and_lists():
    told = records.read(
        """
        // who crowds is told apart by desk
        #Slow: 2.5s
        door: on: true
        door: come_back: {least: 250ms, most: #Slow, field: "back"}
        door: {
            bytes: 1Mi, waiting: 5K
            client: networks: [
                {net: "10.0.0.0/8", name: "a"},
                {net: "2001:db8::/32", name: "b", each: "address"},
            ]
            weights: {"big desk": 2, small: 0.5}
        }
    """,
        "f.cue",
    ).door
    assert told.on
    assert told.come_back.least == 250_000
    assert told.come_back.most == 2_500_000
    assert told.bytes == 1 << 20
    assert told.waiting == 5000
    assert [net.each for net in told.client.networks] == ["network", "address"]
    assert told.weights == {"big desk": 2.0, "small": 0.5}


@pytest.mark.parametrize(
    "written, want",
    [
        ("door: {window: 65}", "f.cue:1:16: door.window: 65 is not <=64 or 1"),
        ("door: {\n  windw: 3\n}", "f.cue:2:3: door.windw: not a known name; did you mean window?"),
        ('door: window: "a"', "f.cue:1:15: door.window: string where int is expected"),
        ("door: redeal: 3", "f.cue:1:15: door.redeal: int where duration is expected"),
        ("door: redeal: 2h", "f.cue:1:15: door.redeal: 2h is not <=1h or 10s"),
        ("door: weights: {a: -1}", "f.cue:1:20: door.weights.a: -1 is not >0"),
        ('door: tenants: "opn"', 'f.cue:1:16: door.tenants: "opn" is not "closed" or "open"'),
        ("dor: {}", "f.cue:1:1: dor: not a known name; did you mean door?"),
        ("door: {window: 3, window: 4}", "f.cue:1:27: door.window: 4 is not 3"),
        ("door: {window: #W}", "f.cue:1:16: door.window: #W is not known"),
        ('door: client: networks: [{net: "10.0.0.0/8"}]', "f.cue:1:26: door.client.networks.0.name: must be"),
        ('door: client: networks: [{net: "10", name: "x"}]', "f.cue:1:32: door.client.networks.0.net: "),
        ("door: {come_back: {least: 2s, most: 1s}}", "f.cue:1:8: door.come_back: least is over most"),
        ('door: tenants: "open"', "f.cue:1:1: door: "),
        ("door: {\n window: }", "f.cue:2:10: '}' is not expected here"),
        ("door: {window: 3", "the end of the file is not expected here"),
        ("door: {window: ~}", "f.cue:1:16: '~' is not expected here"),
        ("#A: {a: #A}\ndoor: #A", "definitions refer to themselves"),
    ],
)
def test_a_bad_file_is_one_line_with_its_place_its_path_and_the_bound(written, want):
    with pytest.raises(OperatorFileError) as fault:
        records.read(written, "f.cue")
    assert want in str(fault.value)
    assert "\n" not in str(fault.value)
    assert str(fault.value).startswith("f.cue:")


def value(source):
    """The value of one expression of an operator file."""
    return evaluate_file(parse("x: " + source, "t")).fields["x"].value


TERMS = ["int", ">=1", "<10", "5", "9", "*3 | int", "*2 | 5 | 9", "number", "!=9", '"a" | 5', "string"]


def settled(source):
    """The concrete value that an expression comes to, or `nothing` where it comes to none."""
    try:
        return concretize(source())
    except OperatorFileError:
        return "nothing"


@settings(max_examples=200, derandomize=True, deadline=None)
@given(st.lists(st.sampled_from(TERMS), min_size=2, max_size=4))
def test_unification_does_not_depend_on_the_order_of_its_terms(terms):
    def joined(order):
        found = value(order[0])
        for term in order[1:]:
            found = unify(found, value(term), ())
        return found

    one = settled(lambda: joined(terms))
    assert settled(lambda: joined(terms[::-1])) == one
    assert settled(lambda: joined([*terms, terms[0]])) == one
    if isinstance(one, int) and not any("|" in term for term in terms):
        assert all(settled(lambda t=term: unify(value(t), value(str(one)), ())) == one for term in terms)


@settings(max_examples=200, derandomize=True, deadline=None)
@given(st.text(alphabet='door:{}[]#*|&<>=." \n12sabw~_', max_size=60))
def test_whatever_is_written_is_understood_or_refused_in_one_line(written):
    try:
        records.read(written, "f.cue")
    except OperatorFileError as fault:
        assert "\n" not in str(fault).replace("\\n", "")


def test_the_command_line_prints_what_was_understood_or_the_fault(tmp_path, capsys):
    path = tmp_path / "operator.cue"
    path.write_text('door: {on: true, client: field: "desk"}')
    assert main(["config", "--operator", str(path)]) == 0
    assert "door.client.field: 'desk'" in capsys.readouterr().out
    path.write_text("door: held: 0")
    assert main(["config", "--operator", str(path)]) == 2
    assert capsys.readouterr().err == f"gullhold: {path}:1:13: door.held: 0 is not >=1 or 64\n"
    assert main(["config", "--operator", str(tmp_path / "none")]) == 2
