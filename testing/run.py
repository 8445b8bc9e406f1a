"""Run the tests; tests that KNOWN-RED.txt lists run apart and do not count."""

from __future__ import annotations

import sys
from pathlib import Path

import pytest

KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"


def known_red() -> list[str]:
    """Return the node ids that KNOWN-RED.txt lists."""
    prefix = "test:"
    lines = (line.strip() for line in KNOWN_RED.read_text().splitlines())
    return [line[len(prefix) :].strip() for line in lines if line.startswith(prefix)]


def main() -> int:
    """Run all other tests for the verdict, then print how the listed ones fare."""
    listed = known_red()
    if listed:
        print("known red, not part of the verdict:")
        pytest.main([*listed, "--tb=no", "-rA"])
    return int(pytest.main([f"--deselect={node}" for node in listed] + sys.argv[1:]))


if __name__ == "__main__":
    sys.exit(main())
