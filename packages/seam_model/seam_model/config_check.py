"""Validates, encodes and compares fleet configurations."""

import collections.abc
import functools
import importlib.resources
import json
import tomllib
from typing import Any

import attrs
import expression
import tomli_w

from seam_model import codec
from seam_model import config
from seam_model import errors
from seam_model import toml_check

DraftResult = expression.Result[config.Draft, errors.ConfigInvalid]
ConfigResult = expression.Result[config.FleetConfig, errors.ConfigInvalid]


def initial() -> config.FleetConfig:
    """Returns the shipped configuration, which has version 0."""
    return config.FleetConfig(0, draft_from_plain({"defaults": {}}).ok.defaults)


# Drafts


def draft_from_toml(text: str) -> DraftResult:
    """Returns the draft in a TOML text, merged over the shipped defaults."""
    try:
        plain = tomllib.loads(text)
    except ValueError as exc:
        problem = errors.BadInput("config", str(exc), "TOML")
        return expression.Error(errors.ConfigInvalid((problem,)))
    return draft_from_plain(plain)


def draft_to_toml(draft: config.Draft) -> str:
    """Returns a draft as TOML."""
    plain = codec.to_plain(draft)
    if not draft.exceptions:
        del plain["exceptions"]
    return tomli_w.dumps(plain)


def draft_from_plain(plain: Any) -> DraftResult:
    """Returns the draft in plain tables, or a list of all its problems."""
    checker = toml_check.Checker()
    if isinstance(plain, dict):
        plain = {
            **plain,
            "defaults": _with_shipped_defaults(plain.get("defaults", {})),
        }
    draft = checker.build(config.Draft, plain)
    if draft is not None:
        _check_defaults(draft.defaults, checker)
        draft = _check_exceptions(draft, checker)
    else:
        _check_broken_exceptions(plain, checker)
    if checker.problems or draft is None:
        return expression.Error(errors.ConfigInvalid(tuple(checker.problems)))
    return expression.Ok(draft)


def check_draft(draft: config.Draft) -> DraftResult:
    """Returns the validated draft, or a list of all its problems."""
    return draft_from_plain(codec.to_plain(draft))


# Objects


def encode(cfg: config.FleetConfig) -> bytes:
    """Returns a configuration in its stored format, JSON."""
    return codec.to_json(cfg)


def decode(data: bytes) -> ConfigResult:
    """Returns a stored configuration.

    Unknown keys are ignored and missing keys get the shipped defaults, so that
    instances of two software versions can run in the same fleet.
    """
    try:
        plain = json.loads(data)
    except (ValueError, RecursionError) as exc:
        problem = errors.BadInput("config", str(exc), "JSON")
        return expression.Error(errors.ConfigInvalid((problem,)))
    checker = toml_check.Checker(strict=False)
    if isinstance(plain, dict):
        plain = {
            **plain,
            "defaults": _with_shipped_defaults(plain.get("defaults", {})),
        }
    cfg = checker.build(config.FleetConfig, plain)
    if cfg is None:
        return expression.Error(errors.ConfigInvalid(tuple(checker.problems)))
    return expression.Ok(_without_unknown(cfg))


def _without_unknown(cfg: config.FleetConfig) -> config.FleetConfig:
    rules = []
    for rule in cfg.exceptions:
        known_settings = {
            key: value
            for key, value in rule.settings.items()
            if key in config.OVERRIDABLE
        }
        rules.append(attrs.evolve(rule, settings=known_settings))
    return attrs.evolve(cfg, exceptions=tuple(rules))


# Differences


def differences(old: config.Draft, new: config.Draft) -> tuple[str, ...]:
    """Returns one line of text for each difference."""
    before = dict(_leaves("", codec.to_plain(old.defaults)))
    after = dict(_leaves("", codec.to_plain(new.defaults)))
    lines = _compare("defaults.", before, after)
    before = {r.id: _rule_text(r) for r in old.exceptions}
    after = {r.id: _rule_text(r) for r in new.exceptions}
    return tuple(lines + _compare("exceptions.", before, after))


def _compare(
    prefix: str, before: dict[str, Any], after: dict[str, Any]
) -> list[str]:
    lines = []
    for key in sorted({*before, *after}):
        old = _text(before[key]) if key in before else "(none)"
        new = _text(after[key]) if key in after else "(none)"
        if old != new:
            lines.append(f"{prefix}{key}: {old} -> {new}")
    return lines


def _rule_text(rule: config.ConfigException) -> Any:
    plain = codec.to_plain(rule)
    scope = {k: v for k, v in plain["scope"].items() if v}
    return [scope, plain["settings"], rule.reason]


def _text(value: Any) -> str:
    return json.dumps(value, sort_keys=True)


def _leaves(path: str, value: Any) -> collections.abc.Iterator[tuple[str, Any]]:
    if not isinstance(value, dict):
        yield path, value
        return
    for key, item in value.items():
        yield from _leaves(f"{path}.{key}" if path else key, item)


# Checks


@functools.cache
def _shipped_defaults() -> dict[str, Any]:
    folder = importlib.resources.files("seam_model")
    return tomllib.loads((folder / "defaults_fleet.toml").read_text("utf-8"))


def _with_shipped_defaults(defaults: Any) -> Any:
    if not isinstance(defaults, dict):
        return defaults
    return toml_check.overlay(_shipped_defaults(), defaults)


def _check_defaults(
    defaults: config.Defaults, checker: toml_check.Checker
) -> None:
    for problem in _cross_field_problems(defaults):
        checker.problems.append(problem)
    for name, rule in defaults.engines.items():
        for model in rule.models:
            if model not in defaults.models:
                key = f"defaults.engines.{name}.models"
                checker.add(key, model, "a model of defaults.models")
            elif not defaults.models[model].weight_bytes:
                key = f"defaults.models.{model}.weight_bytes"
                text = f"above 0, as defaults.engines.{name} names the model"
                checker.add(key, 0, text)


def _cross_field_problems(defaults: config.Defaults) -> list[errors.BadInput]:
    """Returns violations of rules between several fields of the settings."""
    checker = toml_check.Checker()
    for name in config.RANK_NAMES:
        targets = getattr(defaults.targets, name)
        for field in ("first_token_s", "per_token_s"):
            value = getattr(targets, field)
            if value <= 0:
                key = f"defaults.targets.{name}.{field}"
                checker.add(key, value, "a number above 0")
        limit = getattr(defaults.deadlines, f"{name}_s")
        if limit > defaults.deadlines.max_s:
            key = f"defaults.deadlines.{name}_s"
            checker.add(key, limit, f"at most {defaults.deadlines.max_s}")
    shares = defaults.admission
    if shares.other_floor + shares.urgent_reserve > 1:
        text = f"{shares.other_floor} + {shares.urgent_reserve}"
        key = "defaults.admission.other_floor"
        checker.add(key, text, "at most 1 with urgent_reserve")
    return checker.problems


def _check_exceptions(
    draft: config.Draft, checker: toml_check.Checker
) -> config.Draft:
    rules = []
    ids: set[str] = set()
    first_ids: dict[tuple[config.Scope, str], str] = {}
    for rule in draft.exceptions:
        path = f"exceptions.{rule.id}"
        if rule.id in ids:
            checker.add(path, rule.id, "a unique id")
        ids.add(rule.id)
        if rule.scope == config.Scope():
            fields = ", ".join(config.SCOPE_FIELDS)
            checker.add(f"{path}.scope", "(empty)", f"at least one of {fields}")
        for key in sorted(rule.settings):
            first_id = first_ids.setdefault((rule.scope, key), rule.id)
            if first_id != rule.id:
                text = f"also set by {first_id} for the same scope"
                checker.add(f"{path}.settings.{key}", text, "one exception")
        _check_scope(rule, path, checker)
        settings = _check_settings(draft.defaults, rule.settings, path, checker)
        rules.append(attrs.evolve(rule, settings=settings))
    return attrs.evolve(draft, exceptions=tuple(rules))


def _check_scope(
    rule: config.ConfigException, path: str, checker: toml_check.Checker
) -> None:
    """Reports settings that are never looked up with the rule's scope."""
    named = [name for name in config.SCOPE_FIELDS if getattr(rule.scope, name)]
    for key in sorted(rule.settings):
        allowed_fields = config.OVERRIDABLE.get(key, named)
        if not set(named) <= set(allowed_fields):
            text = "for a scope of " + ", ".join(named)
            allowed = "a scope of " + ", ".join(allowed_fields) + " only"
            checker.add(f"{path}.settings.{key}", text, allowed)


def _check_settings(
    defaults: config.Defaults,
    settings: dict[str, Any],
    path: str,
    checker: toml_check.Checker,
) -> dict[str, Any]:
    """Returns the overrides, converted to the types of their fields."""
    if not settings:
        checker.add(f"{path}.settings", "(empty)", "at least one setting")
    plain = codec.to_plain(defaults)
    overrides = {}
    for key, value in settings.items():
        if key not in config.OVERRIDABLE:
            allowed = "one of " + ", ".join(sorted(config.OVERRIDABLE))
            checker.add(f"{path}.settings.{key}", key, allowed)
            continue
        overrides[key] = value
        plain = toml_check.overlay(plain, _nested(key, value))
    override_checker = toml_check.Checker()
    built = override_checker.build(config.Defaults, plain, "defaults")
    problems = override_checker.problems
    if built is not None and not _cross_field_problems(defaults):
        problems = _cross_field_problems(built)
    for problem in problems:
        key = problem.field.removeprefix("defaults.")
        field = f"{path}.settings.{key}"
        checker.problems.append(attrs.evolve(problem, field=field))
    if built is None:
        return settings
    return {key: _get_dotted(built, key) for key in overrides}


def _check_broken_exceptions(plain: Any, checker: toml_check.Checker) -> None:
    """Reports further problems of a draft that could not be built."""
    rules = plain.get("exceptions", ()) if isinstance(plain, dict) else ()
    shipped = toml_check.Checker().build(config.Defaults, _shipped_defaults())
    for index, rule in enumerate(rules if isinstance(rules, list) else ()):
        if not isinstance(rule, dict):
            continue
        settings = rule.get("settings")
        path = f"exceptions[{index}]"
        if isinstance(settings, dict):
            _check_settings(shipped, settings, path, checker)
        if rule.get("scope") == {}:
            fields = ", ".join(config.SCOPE_FIELDS)
            checker.add(f"{path}.scope", "(empty)", f"at least one of {fields}")


def _nested(dotted: str, value: Any) -> dict[str, Any]:
    for name in reversed(dotted.split(".")):
        value = {name: value}
    return value


def _get_dotted(target: Any, dotted: str) -> Any:
    for name in dotted.split("."):
        target = getattr(target, name)
    return target
