"""Command that starts a daemon on the users' platform.

The modules of a role are imported after the clock is read, so that the measured
startup time includes the imports. A replica's wait for an old lease starts then too.
"""

from __future__ import annotations

import sys

from ..errors import ChervilstageError
from ..transport.clock import replica_clock

ROLES = ("entry", "control")
# Checks the settings file named by the platform's environment variable, and exits.
CHECK_OPTION = "--check"


def main() -> None:
    """Run the daemon of the role in the first argument until it is stopped."""
    started_at = replica_clock()
    role, options = sys.argv[1:2], sys.argv[2:]
    if role not in [[name] for name in ROLES] or options not in ([], [CHECK_OPTION]):
        sys.exit(
            f"usage: python -m chervilstage.platform {'|'.join(ROLES)} [{CHECK_OPTION}]"
        )
    from ..programs.running import EXIT_SETTINGS, log_error_and_exit, run_daemon
    from ..transport.event_log import STANDARD_OUTPUT
    from .settings import read_settings, settings_path

    try:
        settings = read_settings(settings_path())
    except ChervilstageError as error:
        log_error_and_exit(error, EXIT_SETTINGS, STANDARD_OUTPUT)
    if options == [CHECK_OPTION]:
        return
    if role == ["entry"]:
        from .entry import build_entry

        run_daemon(lambda: build_entry(settings, started_at), "info")
    else:
        from .control import build_control

        run_daemon(lambda: build_control(settings, started_at), "info")


if __name__ == "__main__":
    main()
