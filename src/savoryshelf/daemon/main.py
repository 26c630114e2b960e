"""``savoryshelfd``: runs one process of the role given by its settings.

This is the program's entry point.  It monkey-patches the standard library for
eventlet before any module that uses sockets is imported; no other module of
this package does.
"""

import warnings

warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")

import eventlet  # noqa: E402

eventlet.monkey_patch()

import sys  # noqa: E402

import click  # noqa: E402

from ..errors import InvalidSettings, SavoryshelfError  # noqa: E402
from ..observability.logs import log_event, start_logging  # noqa: E402
from ..settings import (  # noqa: E402
    ENVIRONMENT_PREFIX,
    SETTINGS_BY_ROLE,
    fields_of_all_roles,
    flag_of,
    read_settings,
)

EXIT_INVALID_SETTINGS = 2
EXIT_FAILED = 1


def _run_control(settings) -> None:
    from ..control.process import ControlHostProcess

    ControlHostProcess(settings).run()


def _run_entry(settings) -> None:
    from ..entry.process import EntryHostProcess

    EntryHostProcess(settings).run()


_RUN_BY_ROLE = {"control": _run_control, "entry": _run_entry}


def _role_restriction(name: str) -> str:
    roles = [
        role
        for role, settings_class in SETTINGS_BY_ROLE.items()
        if name in {field.name for field in settings_class.__attrs_attrs__}
    ]
    return "" if len(roles) == len(SETTINGS_BY_ROLE) else f" ({' and '.join(roles)} only)"


def _add_setting_options(command):
    """Add an option to ``command`` for each setting, with its environment variable."""
    for name, field in reversed(fields_of_all_roles().items()):
        description = field.metadata["description"]
        option = click.option(
            flag_of(name),
            name,
            envvar=ENVIRONMENT_PREFIX + name.upper(),
            show_envvar=True,
            metavar="TEXT",
            help=description.help + _role_restriction(name),
        )
        command = option(command)
    return command


@click.command(context_settings={"max_content_width": 100})
@click.option(
    "--role",
    envvar=ENVIRONMENT_PREFIX + "ROLE",
    show_envvar=True,
    default="",
    help=f"Role of this process: {' or '.join(SETTINGS_BY_ROLE)}.",
)
@_add_setting_options
def main(role: str, **text_by_name: str | None) -> None:
    """Run a control host or an entry host of savoryshelf."""
    try:
        settings = read_settings(role, text_by_name)
    except InvalidSettings as group:
        for problem in group.exceptions:
            click.echo(f"savoryshelfd: {problem}", err=True)
        sys.exit(EXIT_INVALID_SETTINGS)
    start_logging(f"{role}:{settings.name}")
    try:
        _RUN_BY_ROLE[role](settings)
    except SavoryshelfError as error:
        log_event("daemon:failed", error=str(error))
        click.echo(f"savoryshelfd: {error}", err=True)
        sys.exit(EXIT_FAILED)


if __name__ == "__main__":
    main()
