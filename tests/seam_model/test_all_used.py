"""Checks that the code reads every setting.

A setting that no code reads would be accepted without any effect.
"""

import pathlib
import re

import attrs
import pytest

from seam_model import config
from seam_model import settings

PACKAGES = pathlib.Path(settings.__file__).parents[2]
READERS = (
    "seam_node/seam_node",
    "seam_model/seam_model/config.py",
    "seam_model/seam_model/settings.py",
)


def leaves(cls, path=""):
    for name, kind in attrs.resolve_types(cls).__annotations__.items():
        dotted = f"{path}.{name}".lstrip(".")
        if attrs.has(kind):
            yield from leaves(kind, dotted)
        else:
            yield dotted, name


def source():
    files = []
    for each in READERS:
        top = PACKAGES / each
        files += top.rglob("*.py") if top.is_dir() else [top]
    return "\n".join(file.read_text() for file in files)


@pytest.mark.parametrize("cls", [settings.NodeSettings, config.Defaults])
def test_every_setting_is_read_somewhere(cls):
    text = source()
    unread = [
        dotted
        for dotted, name in leaves(cls)
        if not re.search(rf"\.{name}\b", text)
    ]
    assert unread == []
