from pathlib import Path

import pytest

from savoryshelf.configuration.declarations import from_document, parse, to_document
from savoryshelf.configuration.files import differences, load, merge
from savoryshelf.errors import InvalidDeclarations

EXAMPLES = Path(__file__).parents[2] / "examples"


def problems_of(call):
    with pytest.raises(InvalidDeclarations) as caught:
        call()
    return [str(error) for error in caught.value.exceptions]


@pytest.mark.parametrize(
    "overlay", [p for p in EXAMPLES.glob("*/*.yaml") if p.name != "base.yaml"], ids=lambda p: p.stem
)
def test_the_examples_are_valid(overlay):
    declarations = load(str(overlay.parent / "base.yaml"), str(overlay))
    assert from_document(to_document(declarations)) == declarations


def test_all_wrong_values_are_named_with_their_file_and_key(tmp_path):
    base, overlay = tmp_path / "base.yaml", tmp_path / "site.yaml"
    base.write_text("customer: c\nservices: {q: {cores: -1}}\n")
    overlay.write_text("services: {q: {repeatable: false}}\nlimits: {max_waiting: -3}\n")
    problems = problems_of(lambda: load(str(base), str(overlay)))
    assert len(problems) == 3
    assert any(p.startswith(f"{base}: services.q.cores: -1") for p in problems)
    assert any(p.startswith(f"{overlay}: services.q.repeatable: False") for p in problems)
    assert any(p.startswith(f"{overlay}: limits.max_waiting: -3") for p in problems)


def test_unknown_and_missing_keys_are_named(tmp_path):
    base = tmp_path / "base.yaml"
    base.write_text("servces: {}\n")
    problems = problems_of(lambda: load(str(base)))
    assert any("servces" in p for p in problems)
    assert any("customer" in p for p in problems)


def test_an_overlay_that_repeats_the_base_is_rejected(tmp_path):
    base, overlay = tmp_path / "base.yaml", tmp_path / "site.yaml"
    base.write_text("customer: c\nlimits: {max_waiting: 3}\n")
    overlay.write_text("limits: {max_waiting: 3}\n")
    assert "limits.max_waiting" in problems_of(lambda: load(str(base), str(overlay)))[0]


@pytest.mark.parametrize("content", ["[1, 2]", "a: [", ""])
def test_a_file_that_is_not_a_mapping_is_rejected(tmp_path, content):
    base = tmp_path / "base.yaml"
    base.write_text(content)
    assert problems_of(lambda: load(str(base)))


def test_a_null_in_an_overlay_removes_a_key():
    assert merge({"a": {"b": 1, "c": 2}}, {"a": {"b": None}}) == {"a": {"c": 2}}


def test_differences_list_key_old_value_and_new_value():
    before = parse({"customer": "c", "limits": {"max_waiting": 3}})
    after = parse({"customer": "c", "limits": {"max_waiting": 4}})
    assert differences(before, after) == [("limits.max_waiting", 3, 4)]
