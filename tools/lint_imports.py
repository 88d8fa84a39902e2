"""Checks that `from` imports name modules, not names inside modules."""

import ast
import importlib.util
import pathlib
import sys

ALLOWED_SOURCES = frozenset({"__future__", "collections.abc", "typing"})
SEARCH_PATHS = (
    "packages/seam_policy",
    "packages/seam_model",
    "packages/seam_node",
    "packages/seam_ctl",
    "platform",
    "tests",
    ".",
)


def _is_module(name: str) -> bool:
    try:
        return importlib.util.find_spec(name) is not None
    except (ImportError, ValueError):
        return False


def _violations(path: pathlib.Path) -> list[str]:
    tree = ast.parse(path.read_text(), str(path))
    found = []
    for node in ast.walk(tree):
        if not isinstance(node, ast.ImportFrom):
            continue
        if node.module in ALLOWED_SOURCES:
            continue
        for alias in node.names:
            if not _is_module(f"{node.module}.{alias.name}"):
                found.append(
                    f"{path}:{node.lineno}: import the module, not "
                    f"{alias.name!r} from {node.module!r}"
                )
    return found


def main(roots: list[str]) -> int:
    """Prints each violation under the roots; returns the exit code."""
    sys.path[:0] = SEARCH_PATHS
    found: list[str] = []
    for root in roots:
        for path in sorted(pathlib.Path(root).rglob("*.py")):
            found.extend(_violations(path))
    print("\n".join(found) or "imports: ok")
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
