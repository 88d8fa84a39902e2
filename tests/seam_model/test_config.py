"""Validation, encoding and resolution of fleet configurations."""

import attrs
import hypothesis
from hypothesis import strategies

from seam_model import config
from seam_model import config_check
from seam_model import requests

NAMES = strategies.from_regex(r"[a-z][a-z0-9._-]{0,8}", fullmatch=True)
SCOPES = strategies.builds(
    config.Scope,
    workspace=strategies.sampled_from(["", "w1", "w2"]),
    engine=strategies.sampled_from(["", "e1"]),
    model=strategies.sampled_from(["", "m1"]),
    data_centre=strategies.sampled_from(["", "east"]),
    rank=strategies.sampled_from(["", "urgent", "other"]),
)
REASONS = strategies.text(
    strategies.characters(codec="utf-8"), min_size=3, max_size=40
).filter(str.strip)
VALUES = {
    "admission.queue_limit": strategies.integers(1, 10**6),
    "deadlines.other_s": strategies.floats(0.001, 3600),
    "entry.cache_s": strategies.floats(0.001, 86400),
    "retry.max_attempts": strategies.integers(1, 10),
    "workspace.concurrency": strategies.integers(1, 10**6),
}


def settings_of(scope):
    """Returns settings whose lookup uses every field that the scope names."""
    named = {name for name in config.SCOPE_FIELDS if getattr(scope, name)}
    fitting = {
        key: value
        for key, value in VALUES.items()
        if named and named <= set(config.OVERRIDABLE[key])
    }
    return strategies.fixed_dictionaries({}, optional=fitting)


EXCEPTIONS = strategies.lists(
    SCOPES.flatmap(
        lambda scope: strategies.builds(
            config.ConfigException,
            id=NAMES,
            scope=strategies.just(scope),
            settings=settings_of(scope),
            reason=REASONS,
        )
    ).filter(lambda rule: rule.settings),
    max_size=4,
    unique_by=(lambda rule: rule.id, lambda rule: rule.scope),
).map(tuple)
SERVICES = strategies.dictionaries(
    NAMES,
    strategies.dictionaries(
        NAMES,
        strategies.builds(
            config.OperationRule,
            idempotent=strategies.booleans(),
            timeout_s=strategies.floats(0.001, 86400),
        ),
    ),
)
DRAFTS = strategies.builds(
    lambda services, rules: config.Draft(
        attrs.evolve(config_check.initial().defaults, services=services), rules
    ),
    SERVICES,
    EXCEPTIONS,
)


def problems(plain):
    found = config_check.draft_from_plain(plain).error.problems
    return {problem.field for problem in found}


def rule(name, scope, **settings):
    keys = {key.replace("__", "."): value for key, value in settings.items()}
    return config.ConfigException(name, scope, keys, "because of a test")


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(DRAFTS)
def test_draft_and_object_round_trip(draft):
    text = config_check.draft_to_toml(draft)
    assert config_check.draft_from_toml(text).ok == draft
    change = config.Change(3, "ann", "now", "why", ("a -> b",), "id")
    cfg = config.FleetConfig(3, draft.defaults, draft.exceptions, (change,))
    assert config_check.decode(config_check.encode(cfg)).ok == cfg


def test_shipped_targets():
    targets = config_check.initial().defaults.targets
    assert targets.for_rank(requests.Rank.URGENT) == requests.Targets(
        0.49, 0.037
    )
    assert targets.for_rank(requests.Rank.OTHER) == requests.Targets(2.0, 0.075)


def test_all_problems_are_listed_at_once():
    assert problems(
        {
            "colour": "red",
            "defaults": {
                "admission": {"other_floor": 1.5},
                "services": {"pay": {"charge": {"idempotent": "no"}}},
            },
            "exceptions": [
                {"id": "x", "scope": {}, "settings": {"orders.window_s": 1}},
                {
                    "id": "y",
                    "scope": {"rank": "first"},
                    "settings": {"entry.width": 0},
                    "reason": "   ",
                },
            ],
        }
    ) == {
        "colour",
        "defaults.admission.other_floor",
        "defaults.services.pay.charge.idempotent",
        "defaults.services.pay.charge.timeout_s",
        "exceptions[0].reason",
        "exceptions[0].scope",
        "exceptions[0].settings.orders.window_s",
        "exceptions[1].scope.rank",
        "exceptions[1].settings.entry.width",
        "exceptions[1].reason",
    }


def test_rules_between_fields_are_checked():
    assert problems(
        {
            "defaults": {
                "admission": {"other_floor": 0.6, "urgent_reserve": 0.6},
                "engines": {"e": {"role": "decode", "models": ["ghost"]}},
            },
            "exceptions": [
                {
                    "id": name,
                    "scope": {"workspace": "w"},
                    "settings": {"workspace.concurrency": 5},
                    "reason": "twice the same",
                }
                for name in ("a", "b")
            ],
        }
    ) == {
        "defaults.admission.other_floor",
        "defaults.engines.e.models",
        "exceptions.b.settings.workspace.concurrency",
    }


def test_override_may_not_break_a_rule_between_fields():
    assert problems(
        {
            "exceptions": [
                {
                    "id": "a",
                    "scope": {"engine": "e"},
                    "settings": {"admission.other_floor": 0.95},
                    "reason": "too much",
                }
            ]
        }
    ) == {"exceptions.a.settings.admission.other_floor"}


def test_most_specific_exception_wins():
    cfg = attrs.evolve(
        config_check.initial(),
        version=1,
        exceptions=(
            rule(
                "both",
                config.Scope(workspace="w", rank="urgent"),
                workspace__concurrency=3,
            ),
            rule("z-w", config.Scope(workspace="w"), workspace__concurrency=2),
            rule(
                "a-dc",
                config.Scope(data_centre="east"),
                workspace__concurrency=1,
                entry__width=2,
            ),
        ),
    )
    found = config.resolve(
        cfg, config.Scope(workspace="w", data_centre="east", rank="other")
    )
    assert (found.workspace.concurrency, found.entry.width) == (2, 2)
    found = config.resolve(cfg, config.Scope(workspace="w", rank="urgent"))
    assert found.workspace.concurrency == 3
    other = [config.resolve(cfg, config.Scope(workspace=w)) for w in "ab"]
    assert other[0] is other[1]
    assert other[0] == cfg.defaults


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(EXCEPTIONS, SCOPES, strategies.randoms(use_true_random=False))
def test_order_of_exceptions_does_not_matter(rules, scope, rng):
    cfg = attrs.evolve(config_check.initial(), exceptions=rules)
    mixed = list(rules)
    rng.shuffle(mixed)
    other = attrs.evolve(cfg, exceptions=tuple(mixed))
    assert config.resolve(cfg, scope) == config.resolve(other, scope)


def test_object_of_a_newer_version_is_readable():
    cfg = attrs.evolve(config_check.initial(), version=7)
    data = config_check.encode(cfg).replace(
        b'"drain"', b'"new":{"a":1},"drain"'
    )
    assert config_check.decode(data).ok == cfg


def test_differences_are_readable_lines():
    old = config_check.initial().draft()
    entry = attrs.evolve(old.defaults.entry, width=9)
    new = config.Draft(
        attrs.evolve(old.defaults, entry=entry),
        (rule("a", config.Scope(workspace="w"), workspace__concurrency=3),),
    )
    assert config_check.differences(old, new) == (
        "defaults.entry.width: 8 -> 9",
        'exceptions.a: (none) -> [{"workspace": "w"}, '
        '{"workspace.concurrency": 3}, "because of a test"]',
    )


def test_exception_is_refused_where_its_setting_would_not_be_looked_up():
    def refused(scope, settings):
        plain = {"id": "a", "scope": scope, "settings": settings}
        return problems({"exceptions": [{**plain, "reason": "a test"}]})

    for scope, key, value in (
        ({"workspace": "w"}, "admission.queue_limit", 5),
        ({"engine": "e"}, "workspace.concurrency", 5),
        ({"workspace": "w", "rank": "other"}, "workspace.burst", 5),
        ({"engine": "e"}, "targets.other.first_token_s", 5.0),
        ({"model": "m"}, "retry.budget_ratio", 0.5),
        ({"workspace": "w"}, "resume_window_s", 5.0),
        ({"data_centre": "d"}, "weights.bytes_per_s", 5.0),
    ):
        expected = {f"exceptions.a.settings.{key}"}
        assert refused(scope, {key: value}) == expected
    for scope, key, value in (
        ({"engine": "e", "data_centre": "d"}, "admission.queue_limit", 5),
        ({"workspace": "w"}, "workspace.burst", 5),
        ({"model": "m", "rank": "other"}, "deadlines.other_s", 5.0),
    ):
        plain = {"id": "a", "scope": scope, "settings": {key: value}}
        draft = {"exceptions": [{**plain, "reason": "a test"}]}
        assert config_check.draft_from_plain(draft).is_ok()
