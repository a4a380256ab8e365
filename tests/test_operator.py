"""The operator file: valid files and their settings, and the one-line errors of invalid files."""

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


def test_an_empty_file_gives_all_defaults_in_immutable_records():
    operator_file = records.read("", "f.cue")
    assert not operator_file.door.on
    assert operator_file.door.redeal == 10_000_000
    assert operator_file.door.client.networks == ()
    with pytest.raises(ValidationError):
        operator_file.door.window = 3


def test_units_nested_fields_comments_definitions_and_lists_are_read():
    queue = records.read(
        """
        // Retry-After times of the admission queue
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
    assert queue.on
    assert queue.come_back.least == 250_000
    assert queue.come_back.most == 2_500_000
    assert queue.bytes == 1 << 20
    assert queue.waiting == 5000
    assert [network.each for network in queue.client.networks] == ["network", "address"]
    assert queue.weights == {"big desk": 2.0, "small": 0.5}


@pytest.mark.parametrize(
    "source, expected_text",
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
        (
            "door: {come_back: {least: 2s, most: 1s}}",
            "f.cue:1:8: door.come_back: least of 2000000 us is over most of 1000000 us",
        ),
        ('door: tenants: "open"', "f.cue:1:1: door: "),
        ("door: {\n window: }", "f.cue:2:10: '}' is not expected here"),
        ("door: {window: 3", "the end of the file is not expected here"),
        ("door: {window: ~}", "f.cue:1:16: '~' is not expected here"),
        ("#A: {a: #A}\ndoor: #A", "definitions refer to themselves, or values are nested too deep"),
    ],
)
def test_an_invalid_file_gives_a_one_line_error_with_location_path_and_bound(source, expected_text):
    with pytest.raises(OperatorFileError) as error:
        records.read(source, "f.cue")
    assert expected_text in str(error.value)
    assert "\n" not in str(error.value)
    assert str(error.value).startswith("f.cue:")


def evaluate(source):
    """Return the value of one expression of an operator file."""
    return evaluate_file(parse("x: " + source, "t")).fields["x"].value


TERMS = ["int", ">=1", "<10", "5", "9", "*3 | int", "*2 | 5 | 9", "number", "!=9", '"a" | 5', "string"]


def concrete_or_nothing(compute):
    """Return the concrete form of the value that compute() returns; "nothing" if there is an error."""
    try:
        return concretize(compute())
    except OperatorFileError:
        return "nothing"


@settings(max_examples=200, derandomize=True, deadline=None)
@given(st.lists(st.sampled_from(TERMS), min_size=2, max_size=4))
def test_unification_does_not_depend_on_the_order_of_its_terms(terms):
    def unify_all(order):
        unified = evaluate(order[0])
        for term in order[1:]:
            unified = unify(unified, evaluate(term), ())
        return unified

    result = concrete_or_nothing(lambda: unify_all(terms))
    assert concrete_or_nothing(lambda: unify_all(terms[::-1])) == result
    assert concrete_or_nothing(lambda: unify_all([*terms, terms[0]])) == result
    if isinstance(result, int) and not any("|" in term for term in terms):
        assert all(
            concrete_or_nothing(lambda t=term: unify(evaluate(t), evaluate(str(result)), ())) == result
            for term in terms
        )


@settings(max_examples=200, derandomize=True, deadline=None)
@given(st.text(alphabet='door:{}[]#*|&<>=." \n12sabw~_', max_size=60))
def test_any_text_is_read_or_gives_a_one_line_error(source):
    try:
        records.read(source, "f.cue")
    except OperatorFileError as error:
        assert "\n" not in str(error).replace("\\n", "")


def test_the_config_command_prints_the_settings_or_the_error(tmp_path, capsys):
    path = tmp_path / "operator.cue"
    path.write_text('door: {on: true, client: field: "desk"}')
    assert main(["config", "--operator", str(path)]) == 0
    assert "door.client.field: 'desk'" in capsys.readouterr().out
    path.write_text("door: held: 0")
    assert main(["config", "--operator", str(path)]) == 2
    assert capsys.readouterr().err == f"gullhold: {path}:1:13: door.held: 0 is not >=1 or 64\n"
    assert main(["config", "--operator", str(tmp_path / "none")]) == 2
