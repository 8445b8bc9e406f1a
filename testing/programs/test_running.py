"""Exit code and last log line of a daemon that fails."""

from __future__ import annotations

import pytest

from chervilstage.errors.settings import KeyFileError
from chervilstage.programs.running import EXIT_ERROR, EXIT_UNEXPECTED_ERROR, run_daemon
from chervilstage.transport.application import Application, Hooks


def application_that_raises(error: Exception) -> Application:
    """Return an application with a part that fails at its start."""

    async def start(group: object) -> None:
        raise error

    application = Application(name="failing")
    application.add(Hooks(name="part", start=start))
    return application


def run_failing(error: Exception, capfd: pytest.CaptureFixture[str]) -> tuple[int, str]:
    """Run a failing application and return its exit code and last log line."""
    with pytest.raises(SystemExit) as ended:
        run_daemon(lambda: application_that_raises(error), "info")
    code = ended.value.code
    assert isinstance(code, int)
    return code, capfd.readouterr().out.strip().splitlines()[-1]


def test_typed_error_ends_with_its_code(capfd: pytest.CaptureFixture[str]) -> None:
    """Guards against a daemon that exits without a reason in its log."""
    code, line = run_failing(KeyFileError(file="key", minimum=16), capfd)
    assert code == EXIT_ERROR
    assert "event=failed code=CS-SETTINGS-004" in line


def test_unexpected_error_is_one_log_line(capfd: pytest.CaptureFixture[str]) -> None:
    """Guards against a traceback that log collectors split into many events."""
    code, line = run_failing(ZeroDivisionError("planted"), capfd)
    assert code == EXIT_UNEXPECTED_ERROR
    assert "event=crashed" in line
    assert "planted" in line
